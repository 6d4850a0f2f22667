"""Deterministic answers of the engine stand-in.

An answer depends on the prompt alone, so that whoever knows the prompt can
tell whether a caller received the whole answer to its own request. A prompt
may carry two markers: ``[[id=TEXT]]`` replaces the prompt as the seed of the
answer, and ``[[tokens=N]]`` sets its length.
"""

import re

import xxhash

DEFAULT_LENGTH_TOKENS = 16
TOKEN_CHARACTERS = 9
ID_PATTERN = re.compile(r'\[\[id=([^\]]+)\]\]')
LENGTH_PATTERN = re.compile(r'\[\[tokens=(\d+)\]\]')

FINISH_STOP = 'stop'
FINISH_LENGTH = 'length'


class Answer:
    """The answer to one prompt.

    :param seed: selects the text of the tokens
    :param length_tokens: how many tokens it has
    :param finish_reason: ``length`` when the token limit cut it
    """

    __slots__ = ('seed', 'length_tokens', 'finish_reason')

    def __init__(self, seed: int, length_tokens: int, finish_reason: str):
        self.seed = seed
        self.length_tokens = length_tokens
        self.finish_reason = finish_reason

    def token(self, index: int) -> str:
        """Returns the text of one token."""
        digest = xxhash.xxh32_intdigest(str(index).encode(), self.seed)
        return f'{digest:08x} '

    def text(self, end_index: int | None = None) -> str:
        """Returns the text of all tokens, or of those before an index."""
        end = self.length_tokens if end_index is None else end_index
        return ''.join(self.token(index) for index in range(end))


def make_answer(prompt: str, max_tokens: int) -> Answer:
    """Returns the answer to a prompt under a token limit."""
    marker = ID_PATTERN.search(prompt)
    seed_text = marker.group(1) if marker else prompt
    seed = xxhash.xxh32_intdigest(seed_text.encode())
    length = LENGTH_PATTERN.search(prompt)
    wanted = int(length.group(1)) if length else DEFAULT_LENGTH_TOKENS
    if max_tokens and wanted > max_tokens:
        return Answer(seed, max_tokens, FINISH_LENGTH)
    return Answer(seed, wanted, FINISH_STOP)


def read_id(prompt: str) -> str:
    """Returns the ``[[id=TEXT]]`` marker of a prompt, empty without one."""
    marker = ID_PATTERN.search(prompt)
    return marker.group(1) if marker else ''
