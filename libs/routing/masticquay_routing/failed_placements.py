"""Requests that could not be placed, and which others then cannot either.

While no engine's state changes, a request that needs at least as much as one
that could not be placed cannot be placed either. Under a load that the engines
cannot take, this saves a look at all engines for each waiting request.
"""

from masticquay_routing import queued_requests


class FailedPlacements:
    """The requests that could not be placed since the last placement."""

    __slots__ = (
        '_full_memory_tokens',
        '_full_memory_tokens_of_late',
        '_late_blocked',
        '_long_backlog',
    )

    def __init__(self) -> None:
        self._full_memory_tokens: int | None = None
        self._full_memory_tokens_of_late: int | None = None
        self._late_blocked = False
        self._long_backlog: queued_requests.QueuedRequest | None = None

    def record_full_memory(
        self, request: queued_requests.QueuedRequest, late: bool
    ) -> None:
        """Records that no engine had room for a request."""
        if _has_fewer_engines(request):
            return
        if late:
            self._full_memory_tokens_of_late = request.memory_tokens
        else:
            self._full_memory_tokens = request.memory_tokens

    def record_long_backlog_for_late(
        self, request: queued_requests.QueuedRequest
    ) -> None:
        """Records that a late request found too long a prefill backlog."""
        if not _has_fewer_engines(request):
            self._late_blocked = True

    def record_long_backlog(
        self, request: queued_requests.QueuedRequest
    ) -> None:
        """Records a request that found too long a backlog.

        No decode engine could prefill it without a long stall either.
        """
        if not _has_fewer_engines(request):
            self._long_backlog = request

    def imply_failure_of(
        self, request: queued_requests.QueuedRequest, now_ms: int
    ) -> bool:
        """Whether a request surely cannot be placed."""
        late = request.is_late(now_ms)
        if self._finds_no_memory(request, late):
            return True
        if request.prefilled or request.resumes_stream or request.avoided_ids:
            return False
        if late:
            return self._late_blocked
        return self._finds_long_backlog(request)

    def _finds_no_memory(
        self, request: queued_requests.QueuedRequest, late: bool
    ) -> bool:
        limits_tokens = [self._full_memory_tokens]
        if late:
            limits_tokens.append(self._full_memory_tokens_of_late)
        return any(
            tokens is not None and request.memory_tokens >= tokens
            for tokens in limits_tokens
        )

    def _finds_long_backlog(
        self, request: queued_requests.QueuedRequest
    ) -> bool:
        """Whether a request needs no less than one that found a backlog.

        A longer prompt stalls the streams of decode engines for longer.
        """
        other = self._long_backlog
        return (
            other is not None
            and request.memory_tokens >= other.memory_tokens
            and request.prompt_tokens >= other.prompt_tokens
            and request.pause_ms <= other.pause_ms
        )


def _has_fewer_engines(request: queued_requests.QueuedRequest) -> bool:
    """Whether a request may not use every engine, as others may."""
    return bool(request.avoided_ids or request.software_version)
