"""What entry hosts use of scheduling, and what scheduling uses of others."""

from concurrent import futures
import typing

from returns import result

from masticquay_scheduling import messages

PlacementResult = result.Result[messages.Placement, messages.Refused]
ChargeResult = result.Result[int, messages.Refused]


class Pools(typing.Protocol):
    """The pool schedulers of the fleet, as an entry host reaches them."""

    def admit(
        self, admit: messages.Admit
    ) -> 'futures.Future[PlacementResult]':
        """Asks the pool's owner for a placement.

        Follows the owner through view changes until the wait limit ends;
        the future never fails.
        """

    def withdraw(self, pool: str, request: messages.RequestId) -> None:
        """Takes a request out of its queue; its future ends as refused."""

    def report_prefill_done(
        self, pool: str, request: messages.RequestId, attempt: int
    ) -> None:
        """Frees the prefill place of an attempt."""

    def await_decode(
        self,
        pool: str,
        request: messages.RequestId,
        attempt: int,
        expires_ms: int,
    ) -> 'futures.Future[PlacementResult]':
        """Asks, after the prefill, for the decode endpoint of an attempt.

        Only for a placement without one, which only an Admit with
        ``late_decode`` gets. It frees the prefill place as well. Refused
        means that the prefill result will expire first: finish the attempt
        and admit the next one. The future never fails.

        :param expires_ms: how much longer the prefill result lives
        """

    def finish(self, pool: str, finished: messages.Finished) -> None:
        """Frees all places of an attempt; delivered at least once."""

    def pool_of(self, target: str, place: str) -> str:
        """Returns the pool for a model or service, near a place."""


class Rates(typing.Protocol):
    """The rate limiters of the fleet, as an entry host reaches them."""

    def charge(
        self, workspace: str, tokens: int, max_wait_ms: int
    ) -> 'futures.Future[ChargeResult]':
        """Charges tokens before dispatch; the future never fails."""

    def refund(self, workspace: str, tokens: int) -> None:
        """Gives back what a finished request did not use."""


class EndpointLoad:
    """What an endpoint last said of itself.

    :param age_ms: how old the figures are
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
    """A prefix block entered or left an engine's cache."""

    __slots__ = ('sequence', 'stored', 'block_hash')

    def __init__(self, sequence: int, stored: bool, block_hash: int):
        self.sequence = sequence
        self.stored = stored
        self.block_hash = block_hash


class EndpointWatcher(typing.Protocol):
    """How a pool's owner learns of its endpoints, and cleans up on them."""

    def read_load(self, endpoint: str) -> EndpointLoad | None:
        """Returns the newest load, None when the endpoint did not answer."""

    def read_cache_events(
        self, endpoint: str, after_sequence: int
    ) -> list[CacheEvent]:
        """Returns cache events after a sequence number."""

    def cancel(self, endpoint: str, request: messages.RequestId) -> bool:
        """Cancels all attempts of a request; True when acknowledged."""

    def is_leaving(self, endpoint: str) -> bool:
        """Whether the platform list has the endpoint as leaving."""
