"""Deterministic answers of the engine stand-in.

An answer depends only on the prompt and the token limit, so a checker that
knows both can tell whether a caller received the complete answer to its own
request. A prompt may contain two markers: ``[[id=TEXT]]`` seeds the answer in
place of the prompt, and ``[[tokens=N]]`` sets its length.
"""

import re

import xxhash

DEFAULT_LENGTH_TOKENS = 16
TOKEN_CHARACTERS = 9  # 8 hex digits and a space.
ID_PATTERN = re.compile(r'\[\[id=([^\]]+)\]\]')
LENGTH_PATTERN = re.compile(r'\[\[tokens=(\d+)\]\]')

FINISH_STOP = 'stop'
FINISH_LENGTH = 'length'


class Answer:
    """The answer to one prompt.

    :param seed: determines the text of the tokens
    :param length_tokens: the number of tokens
    :param finish_reason: ``length`` if the token limit truncated the answer
    """

    __slots__ = ('seed', 'length_tokens', 'finish_reason')

    def __init__(self, seed: int, length_tokens: int, finish_reason: str):
        self.seed = seed
        self.length_tokens = length_tokens
        self.finish_reason = finish_reason

    def token(self, index: int) -> str:
        """Returns the text of the token at an index."""
        digest = xxhash.xxh32_intdigest(str(index).encode(), self.seed)
        return f'{digest:08x} '

    def text(self, end_index: int | None = None) -> str:
        """Returns the text of all tokens, or of those before ``end_index``."""
        end = self.length_tokens if end_index is None else end_index
        return ''.join(self.token(index) for index in range(end))


def make_answer(prompt: str, max_tokens: int) -> Answer:
    """Returns the answer to a prompt.

    :param max_tokens: the token limit, 0 for none
    """
    id_marker = ID_PATTERN.search(prompt)
    seed_text = id_marker.group(1) if id_marker else prompt
    seed = xxhash.xxh32_intdigest(seed_text.encode())
    length_marker = LENGTH_PATTERN.search(prompt)
    length_tokens = (
        int(length_marker.group(1)) if length_marker else DEFAULT_LENGTH_TOKENS
    )
    if max_tokens and length_tokens > max_tokens:
        return Answer(seed, max_tokens, FINISH_LENGTH)
    return Answer(seed, length_tokens, FINISH_STOP)


def read_prompt_id(prompt: str) -> str:
    """Returns the TEXT of the ``[[id=TEXT]]`` marker of a prompt.

    :returns: an empty string if the prompt has no such marker
    """
    id_marker = ID_PATTERN.search(prompt)
    return id_marker.group(1) if id_marker else ''
