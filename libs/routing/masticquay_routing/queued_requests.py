"""Model requests to be placed on engines, and the results."""

from masticquay_routing import fleets

# Engines allocate KV cache memory in blocks of this size.
BLOCK_TOKENS = 16
DEFAULT_OUTPUT_TOKENS = 1_000
DEFAULT_PAUSE_MS = 300
# Average fraction of an answer's final length that is held in memory, as the
# answers of one engine are at different stages of generation.
MEAN_OUTPUT_SHARE = 0.7
# Answers are often longer than the caller's hint.
HINT_SAFETY_FACTOR = 1.1

RequestKey = tuple[str, int]


class QueuedRequest:
    """A model request that waits to be placed on engines.

    :param key: the entry host and the number that it gave the request
    :param prompt_tokens: the length of the prompt
    :param output_tokens: the expected length of the answer
    :param priority: 0 is the most urgent
    :param arrived_ms: when the request arrived
    :param target_deadline_ms: when the latency target for the first token is
        missed
    :param placement_deadline_ms: when the request is refused if it was not
        placed
    :param late_placement_deadline_ms: replaces ``placement_deadline_ms`` if
        the request is the retry of a refused one and this time is later
    :param prompt_key: identifies the prompt across a caller's retries; empty
        if unknown
    :param avoided_ids: ids of the endpoints that must not be used
    :param preferred_id: id of the engine that has the prompt in its cache;
        empty for none
    :param prefilled: whether the host holds a handle to the prefilled prompt
    :param pause_ms: the longest pause in a stream that meets the latency
        target
    :param software_version: the version of decode engines at which a stream
        goes on; empty for a new stream
    :param give_up_at_ms: when the caller gives up or the deadline ends; 0 if
        unknown
    """

    __slots__ = (
        'key',
        'workspace',
        'prompt_tokens',
        'output_tokens',
        'priority',
        'arrived_ms',
        'target_deadline_ms',
        'placement_deadline_ms',
        'late_placement_deadline_ms',
        'prompt_key',
        'avoided_ids',
        'preferred_id',
        'prefilled',
        'pause_ms',
        'software_version',
        'give_up_at_ms',
    )

    def __init__(
        self,
        key: RequestKey,
        workspace: str,
        prompt_tokens: int,
        output_tokens: int,
        priority: int,
        arrived_ms: int,
        target_deadline_ms: int,
        placement_deadline_ms: int,
        avoided_ids: frozenset[str] = frozenset(),
        preferred_id: str = '',
        late_placement_deadline_ms: int = 0,
        prompt_key: str = '',
        prefilled: bool = False,
        pause_ms: int = DEFAULT_PAUSE_MS,
        software_version: str = '',
        give_up_at_ms: int = 0,
    ):
        self.key = key
        self.workspace = workspace
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.priority = priority
        self.arrived_ms = arrived_ms
        self.target_deadline_ms = target_deadline_ms
        self.placement_deadline_ms = placement_deadline_ms
        self.avoided_ids = avoided_ids
        self.preferred_id = preferred_id
        self.late_placement_deadline_ms = late_placement_deadline_ms
        self.prompt_key = prompt_key
        self.prefilled = prefilled
        self.pause_ms = pause_ms
        self.software_version = software_version
        self.give_up_at_ms = give_up_at_ms

    @property
    def resumes_stream(self) -> bool:
        """Whether the caller already has a part of the stream."""
        return bool(self.preferred_id or self.software_version)

    def is_late(self, now_ms: int) -> bool:
        """Whether the request misses its target.

        One that resumes a stream counts as on time.
        """
        return now_ms >= self.target_deadline_ms and not self.resumes_stream

    def fits(self, endpoint: fleets.Endpoint) -> bool:
        """Whether the request may be decoded on an engine."""
        if endpoint.endpoint_id in self.avoided_ids:
            return False
        return self.software_version in ('', endpoint.software_version)

    @property
    def memory_tokens(self) -> int:
        """The decode memory to reserve, rounded up to whole blocks."""
        total_tokens = self.prompt_tokens + int(
            self.output_tokens * MEAN_OUTPUT_SHARE
        )
        return -(-total_tokens // BLOCK_TOKENS) * BLOCK_TOKENS


class Placement:
    """The engines that a request runs on.

    :param prefill: None if the decode engine needs no prefill engine
    :param prefill_ms: the expected time of the prefill, queueing included
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
    """Why a request was not placed, and when the caller may retry."""

    __slots__ = ('reason', 'retry_after_ms')

    def __init__(self, reason: str, retry_after_ms: int):
        self.reason = reason
        self.retry_after_ms = retry_after_ms


def expected_output(hint_tokens: int | None, limit_tokens: int) -> int:
    """Returns the expected length of an answer in tokens.

    :param hint_tokens: the caller's estimate, None if it gave none; assumed to
        be the median
    :param limit_tokens: the maximum length, 0 if unknown
    """
    expected_tokens = DEFAULT_OUTPUT_TOKENS
    if hint_tokens is not None:
        expected_tokens = int(hint_tokens * HINT_SAFETY_FACTOR)
    elif limit_tokens:
        expected_tokens = limit_tokens
    if limit_tokens:
        expected_tokens = min(expected_tokens, limit_tokens)
    return max(1, expected_tokens)
