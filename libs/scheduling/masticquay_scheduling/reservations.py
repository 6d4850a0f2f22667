"""Endpoints as a pool's owner sees them, and what is reserved on them."""

import collections

from masticquay_bundles import models
from masticquay_scheduling import caches
from masticquay_scheduling import healths
from masticquay_scheduling import links
from masticquay_scheduling import messages
from masticquay_scheduling import outliers
from masticquay_scheduling import protocols
from masticquay_scheduling import settings as scheduling_settings

STAGE_PREFILL = 'prefill'
STAGE_DECODE = 'decode'

FOREIGN_SAMPLES = 4
SMOOTHING = 0.3

RequestKey = tuple[str, int, int]


def key_of(request: messages.RequestId) -> RequestKey:
    """Returns a hashable form of a request id."""
    return (request.host, request.incarnation, request.number)


class EndpointState:
    """What is reserved on one endpoint, and what it said of itself."""

    __slots__ = (
        'endpoint',
        'prefills',
        'decodes',
        'busy_until_ms',
        'prefill_work_ms',
        'prefill_count',
        'decode_count',
        'pieces_used',
        'link',
        'index',
        'health',
        'leaving',
        'undeclared',
        'incarnation',
        'load_read_ms',
        'foreign_slots',
        'smoothed_load',
        'speed',
        '_foreign',
        '_peak',
        '_earlier_peak',
    )

    def __init__(
        self,
        endpoint: models.Endpoint,
        settings: scheduling_settings.SchedulingSettings,
        now_ms: int,
        slow_start: bool,
    ):
        self.index = caches.PrefixIndex()
        self.health = healths.Health(settings, now_ms if slow_start else None)
        self.busy_until_ms = 0.0
        self.prefill_work_ms = 0.0
        self.prefill_count = 0
        self.decode_count = 0
        self.pieces_used = 0
        self.leaving = False
        self.undeclared = False
        self.incarnation: int | None = None
        self.load_read_ms = now_ms
        self.foreign_slots = 0
        self.smoothed_load = 0.0
        self.speed = outliers.Speed()
        self._foreign: collections.deque[int] = collections.deque(
            maxlen=FOREIGN_SAMPLES
        )
        self._peak = 0
        self._earlier_peak = 0
        self.link = links.Link(endpoint.link_bytes_per_s)
        self.replace(endpoint)

    def replace(self, endpoint: models.Endpoint) -> None:
        """Takes a newer declaration of the same endpoint."""
        self.endpoint = endpoint
        is_service = endpoint.kind == models.KIND_SERVICE
        roles = endpoint.roles or [models.ROLE_PREFILL, models.ROLE_DECODE]
        self.prefills = not is_service and models.ROLE_PREFILL in roles
        self.decodes = is_service or models.ROLE_DECODE in roles
        self.link.rate_bytes_per_s = endpoint.link_bytes_per_s

    @property
    def name(self) -> str:
        """The endpoint's name."""
        return self.endpoint.name

    def takes_work(self) -> bool:
        """Whether the endpoint may get anything new."""
        return not (self.leaving or self.undeclared)

    def in_use(self) -> bool:
        """Whether anything is reserved here."""
        return bool(self.decode_count or self.prefill_count)

    def pieces_for(self, tokens: int) -> int:
        """Returns how many pieces of memory some tokens take."""
        return -(-tokens // self.endpoint.piece_tokens)

    def free_pieces(self) -> int:
        """Returns the pieces that are not reserved."""
        return self.endpoint.pieces - self.pieces_used

    def note_peak(self) -> None:
        """Notes how much is reserved, to tell foreign load by."""
        self._peak = max(self._peak, self.decode_count + self.prefill_count)

    def free_slots(self, now_ms: int) -> int:
        """Returns the decode slots that may be reserved now."""
        if self.leaving or self.undeclared:
            return 0
        allowed = self.health.allowance(self.endpoint.slots, now_ms)
        return allowed - self.decode_count - self.foreign_slots

    def free_prefills(self, now_ms: int) -> int:
        """Returns the prefill places that may be reserved now."""
        if not self.takes_work():
            return 0
        allowed = self.health.allowance(self.endpoint.slots, now_ms)
        return allowed - self.prefill_count

    def apply_load(self, load: protocols.EndpointLoad, now_ms: int) -> bool:
        """Takes a load report; returns whether the endpoint started anew."""
        self.load_read_ms = now_ms
        restarted = self.incarnation not in (None, load.incarnation)
        self.incarnation = load.incarnation
        if restarted:
            self._foreign.clear()
            self.foreign_slots = 0
            self.index.reset()
            self.health.restart(now_ms)
            return True
        # Reports lag, so only what is above the most that was reserved in
        # the meantime, and stays so over several reports, is foreign.
        own = max(self._peak, self._earlier_peak)
        self._earlier_peak = self._peak
        self._peak = self.decode_count + self.prefill_count
        self._foreign.append(max(0, load.slots_used - own))
        if len(self._foreign) == FOREIGN_SAMPLES:
            self.foreign_slots = min(self._foreign)
        relative = (load.slots_used + load.queued) / self.endpoint.slots
        self.smoothed_load += SMOOTHING * (relative - self.smoothed_load)
        return False


class Reservation:
    """What one attempt holds on endpoints.

    :param pieces: reserved on the decode endpoint
    :param prefill_pieces: reserved on the prefill endpoint
    :param work_ms: the estimated prefill time
    :param cost_ms: the engine time charged to the workspace
    """

    __slots__ = (
        'placement',
        'stage',
        'prefill',
        'decode',
        'prompt_tokens',
        'pieces',
        'prefill_pieces',
        'work_ms',
        'work_tokens',
        'prefill_begins_ms',
        'transfer_ms',
        'prefill_cost_ms',
        'cost_ms',
        'started_ms',
        'decode_started_ms',
        'expires_ms',
        'excluded',
        'promised',
        'unacknowledged',
    )

    def __init__(
        self,
        placement: messages.Placement,
        prompt_tokens: int,
        started_ms: int,
        expires_ms: int,
        excluded: list[str] | None = None,
    ):
        self.placement = placement
        self.stage = STAGE_PREFILL
        self.prefill: EndpointState | None = None
        self.decode: EndpointState | None = None
        self.prompt_tokens = prompt_tokens
        self.pieces = 0
        self.prefill_pieces = 0
        self.work_ms = 0.0
        self.work_tokens = 0
        self.prefill_begins_ms = 0.0
        self.transfer_ms = 0.0
        self.prefill_cost_ms = 0.0
        self.cost_ms = 0.0
        self.started_ms = started_ms
        self.decode_started_ms = 0
        self.expires_ms = expires_ms
        self.excluded = excluded or []
        self.promised = False
        self.unacknowledged: set[str] = set()

    def take_prefill(
        self, state: EndpointState, work_ms: float, now_ms: int
    ) -> None:
        """Reserves a prefill place, its time and its memory."""
        self.prefill = state
        self.work_ms = work_ms
        self.prefill_pieces = state.pieces_for(self.prompt_tokens)
        self.prefill_begins_ms = max(state.busy_until_ms, now_ms)
        state.prefill_count += 1
        state.note_peak()
        state.prefill_work_ms += work_ms
        state.pieces_used += self.prefill_pieces
        state.busy_until_ms = self.prefill_begins_ms + work_ms

    def end_prefill(self, now_ms: int) -> None:
        """Frees the prefill place; its memory stays until the transfer."""
        state = self.prefill
        if state is None or not self.work_ms:
            return
        state.prefill_count -= 1
        state.prefill_work_ms -= self.work_ms
        state.busy_until_ms = now_ms + max(0.0, state.prefill_work_ms)
        self.work_ms = 0.0

    def take_decode(
        self, state: EndpointState, pieces: int, transfer_ms: float
    ) -> None:
        """Reserves a decode slot and memory."""
        self.decode = state
        self.pieces = pieces
        self.transfer_ms = transfer_ms
        state.decode_count += 1
        state.note_peak()
        state.pieces_used += pieces

    def release_prefill(self, now_ms: int) -> None:
        """Frees all that is held on the prefill endpoint."""
        self.end_prefill(now_ms)
        if self.prefill is not None:
            self.prefill.pieces_used -= self.prefill_pieces
            self.prefill = None

    def release_decode(self) -> None:
        """Frees all that is held on the decode endpoint."""
        if self.decode is not None:
            self.decode.decode_count -= 1
            self.decode.pieces_used -= self.pieces
            self.decode = None

    def release_endpoint(self, name: str, now_ms: int) -> None:
        """Frees what is held on one endpoint."""
        if self.prefill is not None and self.prefill.name == name:
            self.release_prefill(now_ms)
        if self.decode is not None and self.decode.name == name:
            self.release_decode()
