"""What ends of engines are held against a prompt, a part or a request."""

import typing

# Reports on one engine within this time are of the same end.
SAME_END_MS = 2_000
# Prefill engines that ended within this time may have one cause, such as a
# rack, if they are told of again.
SAME_CAUSE_MS = 500
# A request under which no endpoint has ended for this long is no suspect.
SUSPICION_MS = 120_000
QUARANTINE_MS = 180_000
MAX_QUARANTINE_MS = 3_600_000


class End:
    """The end of an engine.

    :param in_prefill: whether it was reading a prompt for another engine
    :param is_retold: whether an earlier leader was told before
    """

    __slots__ = ('endpoint_id', 'reported_ms', 'in_prefill', 'is_retold')

    def __init__(
        self,
        endpoint_id: str,
        reported_ms: int,
        in_prefill: bool,
        is_retold: bool,
    ):
        self.endpoint_id = endpoint_id
        self.reported_ms = reported_ms
        self.in_prefill = in_prefill
        self.is_retold = is_retold

    def is_same(self, other: typing.Self) -> bool:
        """Whether two reports are of the same end, or count as one."""
        apart_ms = abs(self.reported_ms - other.reported_ms)
        if self.in_prefill and other.in_prefill:
            is_retold = self.is_retold or other.is_retold
            if is_retold and apart_ms <= SAME_CAUSE_MS:
                return True
        return (
            self.endpoint_id == other.endpoint_id and apart_ms <= SAME_END_MS
        )


class Evidence:
    """What is known of one part, or of one prompt.

    :ivar request_count: requests that had it
    :ivar ends: ends of engines in a row without a survivor
    :ivar prompts: keys of the prompts under which they ended
    :ivar quarantine_ms: length of the last quarantine, 0 before the first
    """

    __slots__ = (
        'request_count',
        'ends',
        'prompts',
        'quarantine_ms',
        'quarantined_until_ms',
        'probe_until_ms',
        'updated_ms',
    )

    def __init__(self) -> None:
        self.ends: list[End] = []
        self.prompts: set[str] = set()
        self.request_count = 0
        self.updated_ms = 0
        self.quarantine_ms = 0
        self.quarantined_until_ms = 0
        self.probe_until_ms = 0

    def clear_ends(self, in_prefill: bool) -> None:
        """Forgets the ends of one kind, after a survivor of that kind.

        A quarantine that rests on the other kind alone stays. One that was
        adopted has no ends; a prefill is no proof against it.
        """
        left = [end for end in self.ends if end.in_prefill != in_prefill]
        if not self.ends and in_prefill:
            return
        if left and len(left) == len(self.ends):
            return
        self.ends = left
        if not left:
            self.prompts = set()
        self.quarantine_ms = 0
        self.quarantined_until_ms = 0

    def add_end(self, end: End, key: str) -> None:
        """Adds the end of an engine unless it was reported before."""
        self.prompts.add(key)
        if not any(end.is_same(other) for other in self.ends):
            self.ends.append(end)

    @property
    def suspected_ms(self) -> int:
        """When the last end or quarantine was, 0 if there is none."""
        ended_ms = self.ends[-1].reported_ms if self.ends else 0
        return max(ended_ms, self.quarantined_until_ms)

    def is_suspect(self, now_ms: int) -> bool:
        """Whether engines may still end on it."""
        if not self.ends and not self.quarantine_ms:
            return False
        return now_ms - self.suspected_ms <= SUSPICION_MS

    def drop_ends(self, explained: list[End]) -> None:
        """Drops the ends that another part explains."""
        self.ends = [
            end
            for end in self.ends
            if not any(end.is_same(other) for other in explained)
        ]

    def quarantine(self, now_ms: int) -> None:
        """Begins a quarantine, each twice as long as the one before."""
        doubled_ms = max(QUARANTINE_MS, 2 * self.quarantine_ms)
        self.quarantine_ms = min(MAX_QUARANTINE_MS, doubled_ms)
        self.quarantined_until_ms = now_ms + self.quarantine_ms
        self.prompts = set()
