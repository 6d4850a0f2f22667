"""State of endpoints at a pool's owner, and reservations on them."""

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

# Load reports that must all show a slot used by others before it counts.
EXTERNAL_LOAD_REPORTS = 4
# Weight of a new report in the smoothed load.
LOAD_SMOOTHING = 0.3

RequestKey = tuple[str, int, int]


def request_key(request: messages.RequestId) -> RequestKey:
    """Returns the hashable identity of a request."""
    return (request.host, request.incarnation, request.number)


class EndpointState:
    """One endpoint's reservations, reported load and health.

    :ivar busy_until_ms: estimated end of the prefills reserved here
    :ivar queued_prefill_ms: estimated time of the prefills reserved here
    :ivar pieces_used: pieces of KV memory reserved here
    :ivar undeclared: whether the endpoint is missing from the bundle
    :ivar load_read_ms: time of the last load report, or of the ejection
        because none came
    :ivar external_slots: slots in use that this owner did not reserve
    :ivar smoothed_load: moving average of its requests per slot
    """

    __slots__ = (
        'endpoint',
        'can_prefill',
        'can_decode',
        'busy_until_ms',
        'queued_prefill_ms',
        'prefill_count',
        'decode_count',
        'pieces_used',
        'link',
        'prefix_index',
        'health',
        'leaving',
        'undeclared',
        'incarnation',
        'load_read_ms',
        'external_slots',
        'smoothed_load',
        'mean_duration',
        '_external_samples',
        '_peak_reserved',
        '_previous_peak_reserved',
    )

    def __init__(
        self,
        endpoint: models.Endpoint,
        settings: scheduling_settings.SchedulingSettings,
        now_ms: int,
        slow_start: bool,
    ):
        self.prefix_index = caches.PrefixIndex()
        self.health = healths.Health(settings, now_ms if slow_start else None)
        self.busy_until_ms = 0.0
        self.queued_prefill_ms = 0.0
        self.prefill_count = 0
        self.decode_count = 0
        self.pieces_used = 0
        self.leaving = False
        self.undeclared = False
        self.incarnation: int | None = None
        self.load_read_ms = now_ms
        self.external_slots = 0
        self.smoothed_load = 0.0
        self.mean_duration = outliers.MeanDuration()
        self._external_samples: collections.deque[int] = collections.deque(
            maxlen=EXTERNAL_LOAD_REPORTS
        )
        self._peak_reserved = 0
        self._previous_peak_reserved = 0
        self.link = links.Link(endpoint.link_bytes_per_s)
        self.update_endpoint(endpoint)

    def update_endpoint(self, endpoint: models.Endpoint) -> None:
        """Applies a newer declaration of the same endpoint."""
        self.endpoint = endpoint
        is_service = endpoint.kind == models.KIND_SERVICE
        roles = endpoint.roles or [models.ROLE_PREFILL, models.ROLE_DECODE]
        self.can_prefill = not is_service and models.ROLE_PREFILL in roles
        self.can_decode = is_service or models.ROLE_DECODE in roles
        self.link.rate_bytes_per_s = endpoint.link_bytes_per_s

    @property
    def name(self) -> str:
        """The endpoint's name."""
        return self.endpoint.name

    def accepts_work(self) -> bool:
        """Returns whether the endpoint may get new requests."""
        return not (self.leaving or self.undeclared)

    def in_use(self) -> bool:
        """Returns whether there are reservations on the endpoint."""
        return bool(self.decode_count or self.prefill_count)

    def pieces_for(self, tokens: int) -> int:
        """Returns how many pieces of KV memory a number of tokens takes."""
        return -(-tokens // self.endpoint.piece_tokens)

    def free_pieces(self) -> int:
        """Returns the pieces of KV memory that are not reserved."""
        return self.endpoint.pieces - self.pieces_used

    def update_peak(self) -> None:
        """Tracks the most slots reserved since the last load report."""
        self._peak_reserved = max(
            self._peak_reserved, self.decode_count + self.prefill_count
        )

    def free_slots(self, now_ms: int) -> int:
        """Returns how many decode slots may be reserved now."""
        if self.leaving or self.undeclared:
            return 0
        allowed = self.health.usable_slots(self.endpoint.slots, now_ms)
        return allowed - self.decode_count - self.external_slots

    def free_prefill_slots(self, now_ms: int) -> int:
        """Returns how many prefill slots may be reserved now."""
        if not self.accepts_work():
            return 0
        allowed = self.health.usable_slots(self.endpoint.slots, now_ms)
        return allowed - self.prefill_count

    def apply_load(self, load: protocols.EndpointLoad, now_ms: int) -> bool:
        """Applies a load report; returns whether the endpoint restarted."""
        self.load_read_ms = now_ms
        restarted = self.incarnation not in (None, load.incarnation)
        self.incarnation = load.incarnation
        if restarted:
            self._external_samples.clear()
            self.external_slots = 0
            self.prefix_index.reset()
            self.health.begin_slow_start(now_ms)
            return True
        # Reports lag behind. So a slot is external only if several reports in
        # a row each show more slots in use than were reserved at any time
        # since the report before last.
        own_slots = max(self._peak_reserved, self._previous_peak_reserved)
        self._previous_peak_reserved = self._peak_reserved
        self._peak_reserved = self.decode_count + self.prefill_count
        self._external_samples.append(max(0, load.slots_used - own_slots))
        if len(self._external_samples) == EXTERNAL_LOAD_REPORTS:
            self.external_slots = min(self._external_samples)
        load_per_slot = (load.slots_used + load.queued) / self.endpoint.slots
        self.smoothed_load += LOAD_SMOOTHING * (
            load_per_slot - self.smoothed_load
        )
        return False


class Reservation:
    """The slots and memory that one attempt holds on endpoints.

    :ivar pieces: KV memory reserved on the decode endpoint
    :ivar prefill_pieces: KV memory reserved on the prefill endpoint
    :ivar prefill_ms: estimated prefill time, 0 once the prefill has ended
    :ivar prefill_begins_ms: when the prefill was estimated to begin
    :ivar cost_ms: engine time charged to the workspace
    :ivar decode_pending: whether a decode endpoint is still to be chosen
    :ivar unacknowledged: endpoints that have not confirmed a cancel yet
    """

    __slots__ = (
        'placement',
        'stage',
        'prefill',
        'decode',
        'prompt_tokens',
        'pieces',
        'prefill_pieces',
        'prefill_ms',
        'uncached_tokens',
        'prefill_begins_ms',
        'transfer_ms',
        'prefill_cost_ms',
        'cost_ms',
        'started_ms',
        'decode_started_ms',
        'expires_ms',
        'excluded',
        'decode_pending',
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
        self.prefill_ms = 0.0
        self.uncached_tokens = 0
        self.prefill_begins_ms = 0.0
        self.transfer_ms = 0.0
        self.prefill_cost_ms = 0.0
        self.cost_ms = 0.0
        self.started_ms = started_ms
        self.decode_started_ms = 0
        self.expires_ms = expires_ms
        self.excluded = excluded or []
        self.decode_pending = False
        self.unacknowledged: set[str] = set()

    def reserve_prefill(
        self, state: EndpointState, prefill_ms: float, now_ms: int
    ) -> None:
        """Reserves a prefill slot, its time and its memory."""
        self.prefill = state
        self.prefill_ms = prefill_ms
        self.prefill_pieces = state.pieces_for(self.prompt_tokens)
        self.prefill_begins_ms = max(state.busy_until_ms, now_ms)
        state.prefill_count += 1
        state.update_peak()
        state.queued_prefill_ms += prefill_ms
        state.pieces_used += self.prefill_pieces
        state.busy_until_ms = self.prefill_begins_ms + prefill_ms

    def end_prefill(self, now_ms: int) -> None:
        """Frees the prefill slot; the transfer still needs the memory."""
        state = self.prefill
        if state is None or not self.prefill_ms:
            return
        state.prefill_count -= 1
        state.queued_prefill_ms -= self.prefill_ms
        state.busy_until_ms = now_ms + max(0.0, state.queued_prefill_ms)
        self.prefill_ms = 0.0

    def reserve_decode(
        self, state: EndpointState, pieces: int, transfer_ms: float
    ) -> None:
        """Reserves a decode slot and memory."""
        self.decode = state
        self.pieces = pieces
        self.transfer_ms = transfer_ms
        state.decode_count += 1
        state.update_peak()
        state.pieces_used += pieces

    def release_prefill(self, now_ms: int) -> None:
        """Frees the slot and memory on the prefill endpoint."""
        self.end_prefill(now_ms)
        if self.prefill is not None:
            self.prefill.pieces_used -= self.prefill_pieces
            self.prefill = None

    def release_decode(self) -> None:
        """Frees the slot and memory on the decode endpoint."""
        if self.decode is not None:
            self.decode.decode_count -= 1
            self.decode.pieces_used -= self.pieces
            self.decode = None

    def release_endpoint(self, name: str, now_ms: int) -> None:
        """Frees the slots and memory on one endpoint."""
        if self.prefill is not None and self.prefill.name == name:
            self.release_prefill(now_ms)
        if self.decode is not None and self.decode.name == name:
            self.release_decode()
