"""The slots of one endpoint of a plain service, as the leader knows them."""

from masticquay_routing import fleets
from masticquay_routing import server_loads
from masticquay_routing import slot_queues

# An endpoint that rejected a granted request counts as full for this long, and
# longer by the factor each time that it rejects the next one, too: one that
# rejects all has free slots only because of that.
REJECTED_PAUSE_MS = 50
REJECTED_PAUSE_FACTOR = 4
MAX_REJECTED_PAUSE_MS = 800
# What a host has in flight without a slot counts for this long after it said
# so, and that of a host that asks for slots for a shorter time, as it sends
# nothing more without one.
OTHERS_TTL_MS = 1_500
ASKING_HOST_TTL_MS = 250
# For so long, the load in an answer says how much of that is still there.
LOAD_TTL_MS = 250
# An endpoint is scarce from this part of its slots on.
SCARCE_SHARE = 0.75
# Half-life of the number of recent grants.
GRANTS_HALF_LIFE_MS = 2_000


class _Others:
    """The requests that one host has in flight without a slot."""

    __slots__ = ('count', 'until_ms')

    def __init__(self, count: int, until_ms: int):
        self.count = count
        self.until_ms = until_ms


class SlotServer:
    """One endpoint.

    ``granted`` has the requests with a slot and until when they have it.
    """

    __slots__ = (
        'endpoint',
        'granted',
        'full_until_ms',
        'ejected_until_ms',
        '_rejected_pause_ms',
        '_others',
        '_others_count',
        '_load_others',
        '_load_ms',
        '_recent_grants',
        '_recent_ms',
    )

    def __init__(self, endpoint: fleets.Endpoint):
        self.endpoint = endpoint
        self.granted: dict[slot_queues.RequestKey, int] = {}
        self.full_until_ms = 0
        self.ejected_until_ms = 0
        self._rejected_pause_ms = REJECTED_PAUSE_MS
        self._others: dict[str, _Others] = {}
        # Their sum, as it is needed for each endpoint at each grant.
        self._others_count = 0
        self._load_others = 0
        self._load_ms = -LOAD_TTL_MS
        self._recent_grants = 0.0
        self._recent_ms = 0

    @property
    def slots(self) -> int:
        """The requests that the endpoint runs at once."""
        return max(1, self.endpoint.slots)

    def is_usable(self, now_ms: int) -> bool:
        """Whether the endpoint may get new requests."""
        return not self.endpoint.leaving and self.ejected_until_ms <= now_ms

    def occupied(self, now_ms: int) -> int:
        """Returns how many slots are probably taken."""
        return self._held(now_ms) + self._others_in_flight(now_ms)

    def free(self, now_ms: int) -> int:
        """Returns how many slots may be granted."""
        if self.full_until_ms > now_ms or not self.is_usable(now_ms):
            return 0
        return max(0, self.slots - self.occupied(now_ms))

    def grant(
        self, key: slot_queues.RequestKey, deadline_ms: int, now_ms: int
    ) -> None:
        """Gives a request a slot."""
        self.granted[key] = deadline_ms
        self._recent_grants = self.recent_grants(now_ms) + 1
        self._recent_ms = now_ms

    def recent_grants(self, now_ms: int) -> float:
        """Returns the number of grants, less with their age."""
        age_ms = now_ms - self._recent_ms
        return self._recent_grants * 0.5 ** (age_ms / GRANTS_HALF_LIFE_MS)

    def record_others(
        self, host: str, count: int, is_asking: bool, now_ms: int
    ) -> None:
        """Records what a host has in flight here without a slot."""
        self._drop_others(host)
        if count <= 0:
            return
        self._others_count += count
        ttl_ms = ASKING_HOST_TTL_MS if is_asking else OTHERS_TTL_MS
        self._others[host] = _Others(count, now_ms + ttl_ms)

    def record_load(self, load: server_loads.ServerLoad, now_ms: int) -> None:
        """Records the load that an answer reported.

        It only lowers what hosts have said, so a false one changes little.
        """
        self._load_others = max(0, load.in_flight - self._held(now_ms))
        self._load_ms = now_ms

    def record_rejection(self, now_ms: int) -> None:
        """Records that the endpoint refused a request as full."""
        if self.full_until_ms > now_ms:
            # It was granted with the one that was rejected before.
            return
        self.full_until_ms = now_ms + self._rejected_pause_ms
        self._rejected_pause_ms = min(
            MAX_REJECTED_PAUSE_MS,
            self._rejected_pause_ms * REJECTED_PAUSE_FACTOR,
        )

    def record_success(self) -> None:
        """Records that the endpoint ran a request."""
        self._rejected_pause_ms = REJECTED_PAUSE_MS

    def is_scarce(self, now_ms: int) -> bool:
        """Whether most slots are taken, or the endpoint said that all are."""
        if self.full_until_ms > now_ms:
            return True
        return self.occupied(now_ms) >= SCARCE_SHARE * self.slots

    def drop_host(self, host: str) -> None:
        """Frees the slots of a host that is gone."""
        self._drop_others(host)
        for key in [k for k in self.granted if k[0] == host]:
            del self.granted[key]

    def expire(self, now_ms: int) -> list[slot_queues.RequestKey]:
        """Frees the slots of requests whose deadline has passed.

        :returns: their keys
        """
        expired = [k for k, at_ms in self.granted.items() if at_ms <= now_ms]
        for key in expired:
            del self.granted[key]
        for host, others in list(self._others.items()):
            if others.until_ms <= now_ms:
                self._drop_others(host)
        return expired

    def _held(self, now_ms: int) -> int:
        return sum(until_ms > now_ms for until_ms in self.granted.values())

    def _others_in_flight(self, now_ms: int) -> int:
        if now_ms - self._load_ms < LOAD_TTL_MS:
            return min(self._others_count, self._load_others)
        return self._others_count

    def _drop_others(self, host: str) -> None:
        others = self._others.pop(host, None)
        if others is not None:
            self._others_count -= others.count
