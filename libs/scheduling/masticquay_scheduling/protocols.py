"""Interfaces that scheduling offers to entry hosts or needs itself."""

from concurrent import futures
import typing

from returns import result

from masticquay_scheduling import messages

PlacementResult = result.Result[messages.Placement, messages.Refused]
ChargeResult = result.Result[int, messages.Refused]


class Pools(typing.Protocol):
    """The pool schedulers of all hosts, as an entry host calls them."""

    def admit(
        self, admit: messages.Admit
    ) -> 'futures.Future[PlacementResult]':
        """Asks the pool's owner for a placement.

        Asks again after a change of owner, until ``max_wait_ms`` is over.
        The future never raises.
        """

    def withdraw(self, pool: str, request: messages.RequestId) -> None:
        """Removes a request from its queue; its future gets a refusal."""

    def report_prefill_done(
        self, pool: str, request: messages.RequestId, attempt: int
    ) -> None:
        """Frees the prefill slot of an attempt."""

    def await_decode(
        self,
        pool: str,
        request: messages.RequestId,
        attempt: int,
        expires_ms: int,
    ) -> 'futures.Future[PlacementResult]':
        """Asks, after the prefill, for the decode endpoint of an attempt.

        Call it only for a placement without one, which only an Admit with
        ``late_decode`` gets. It frees the prefill slot as well. A refusal
        means that no slot comes free before the prefill result expires: then
        finish the attempt and admit another. The future never raises.

        :param expires_ms: time until the prefill result expires
        """

    def finish(self, pool: str, finished: messages.Finished) -> None:
        """Frees all reservations of an attempt; delivered at least once."""

    def pool_of(self, target: str, place: str) -> str:
        """Returns the pool of a target nearest to a place, else empty."""


class Rates(typing.Protocol):
    """The rate limiters of all hosts, as an entry host calls them."""

    def charge(
        self, workspace: str, tokens: int, max_wait_ms: int
    ) -> 'futures.Future[ChargeResult]':
        """Charges the tokens of a request before it is dispatched.

        The charge is refused when no grant covers it within ``max_wait_ms``.
        The future never raises.
        """

    def refund(self, workspace: str, tokens: int) -> None:
        """Gives back tokens that a finished request did not use."""


class EndpointLoad:
    """An endpoint's latest load report.

    :param slots_used: requests running on the endpoint
    :param pieces_used: units of KV cache memory in use
    :param queued: requests waiting on the endpoint
    :param incarnation: changes when the endpoint restarts
    :param age_ms: age of the report
    """

    __slots__ = (
        'slots_used',
        'pieces_used',
        'queued',
        'incarnation',
        'version',
        'age_ms',
    )

    def __init__(
        self,
        slots_used: int,
        pieces_used: int,
        queued: int,
        incarnation: int,
        version: str,
        age_ms: int,
    ):
        self.slots_used = slots_used
        self.pieces_used = pieces_used
        self.queued = queued
        self.incarnation = incarnation
        self.version = version
        self.age_ms = age_ms


class CacheEvent:
    """A prefix block was stored in or evicted from an engine's cache.

    :param sequence: number of the event, without gaps for an engine
    :param stored: True when stored, False when evicted
    """

    __slots__ = ('sequence', 'stored', 'block_hash')

    def __init__(self, sequence: int, stored: bool, block_hash: int):
        self.sequence = sequence
        self.stored = stored
        self.block_hash = block_hash


class EndpointWatcher(typing.Protocol):
    """Reads the state of endpoints and cancels requests on them."""

    def read_load(self, endpoint: str) -> EndpointLoad | None:
        """Returns the latest load, None when the endpoint did not answer."""

    def read_cache_events(
        self, endpoint: str, after_sequence: int
    ) -> list[CacheEvent]:
        """Returns the cache events after a sequence number."""

    def cancel(self, endpoint: str, request: messages.RequestId) -> bool:
        """Cancels all attempts of a request; returns whether it did."""

    def is_leaving(self, endpoint: str) -> bool:
        """Returns whether the platform lists the endpoint as leaving."""
