"""Model requests that ask for a place, and what they get."""

from masticquay_routing import fleets

BLOCK_TOKENS = 16
DEFAULT_OUTPUT_TOKENS = 1_000
DEFAULT_PAUSE_MS = 300
# Answers in all stages of their making hold less than their full length.
OUTPUT_SHARE = 0.7
# Answers are often longer than their hint says.
HINT_FACTOR = 1.1

Key = tuple[str, int]


class Ticket:
    """A model request that asks for a place.

    :param key: the entry host and its number of the request
    :param prompt_tokens: tokens to read
    :param output_tokens: tokens that are expected to be made
    :param priority: 0 is the most urgent
    :param arrived_ms: when it asked
    :param urgent_until_ms: by when its first token is on time
    :param give_up_ms: when it is refused if there was no place
    :param late_give_up_ms: the same, for a request that was refused before
    :param prompt_key: the same for each attempt of a caller at a request,
        empty if unknown
    :param avoid: endpoints that must not be used
    :param prefer: the engine that keeps the prompt, empty for none
    :param prefilled: whether a handle to the prompt is at hand
    :param pause_ms: the longest pause in a stream that counts as on time
    """

    __slots__ = (
        'key',
        'workspace',
        'prompt_tokens',
        'output_tokens',
        'priority',
        'arrived_ms',
        'urgent_until_ms',
        'give_up_ms',
        'late_give_up_ms',
        'prompt_key',
        'avoid',
        'prefer',
        'prefilled',
        'pause_ms',
    )

    def __init__(
        self,
        key: Key,
        workspace: str,
        prompt_tokens: int,
        output_tokens: int,
        priority: int,
        arrived_ms: int,
        urgent_until_ms: int,
        give_up_ms: int,
        avoid: frozenset[str] = frozenset(),
        prefer: str = '',
        late_give_up_ms: int = 0,
        prompt_key: str = '',
        prefilled: bool = False,
        pause_ms: int = DEFAULT_PAUSE_MS,
    ):
        self.key = key
        self.workspace = workspace
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.priority = priority
        self.arrived_ms = arrived_ms
        self.urgent_until_ms = urgent_until_ms
        self.give_up_ms = give_up_ms
        self.avoid = avoid
        self.prefer = prefer
        self.late_give_up_ms = late_give_up_ms
        self.prompt_key = prompt_key
        self.prefilled = prefilled
        self.pause_ms = pause_ms

    @property
    def memory_tokens(self) -> int:
        """The decode memory it needs, in whole blocks."""
        total = self.prompt_tokens + int(self.output_tokens * OUTPUT_SHARE)
        return -(-total // BLOCK_TOKENS) * BLOCK_TOKENS


class Placement:
    """Where a request runs.

    :param prefill: None when the decode engine reads the prompt itself
    :param prefill_ms: how long the prefill should take, its queue included
    """

    __slots__ = ('prefill', 'decode', 'prefill_ms')

    def __init__(
        self,
        prefill: fleets.Endpoint | None,
        decode: fleets.Endpoint,
        prefill_ms: int = 0,
    ):
        self.prefill = prefill
        self.decode = decode
        self.prefill_ms = prefill_ms


class Refusal:
    """Why a request gets no place, and when it may come again."""

    __slots__ = ('reason', 'retry_after_ms')

    def __init__(self, reason: str, retry_after_ms: int):
        self.reason = reason
        self.retry_after_ms = retry_after_ms


def expected_output(hint_tokens: int | None, limit_tokens: int) -> int:
    """Returns how many tokens an answer is expected to have.

    :param hint_tokens: the caller's estimate, right at the median
    :param limit_tokens: the most that it may have, 0 if unknown
    """
    expected = DEFAULT_OUTPUT_TOKENS
    if hint_tokens is not None:
        expected = int(hint_tokens * HINT_FACTOR)
    elif limit_tokens:
        expected = limit_tokens
    if limit_tokens:
        expected = min(expected, limit_tokens)
    return max(1, expected)
