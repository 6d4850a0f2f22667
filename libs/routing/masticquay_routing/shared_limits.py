"""How the leader shares out the limits that endpoints name.

All requests to an endpoint that names a limit draw on one token bucket: those
for which hosts ask for a permit, and the model requests that the leader
places. A permit is used at once, so it needs no end of its own.

Neither network nor clock is used: callers pass the time in milliseconds.
"""

from masticquay_routing import fleets
from masticquay_routing import meters
from masticquay_routing import named_limits

# Permits that gather while nobody asks, as a time at the rate and at most.
BURST_MS = 800
MAX_BURST = 4.0


class Permit:
    """The answer to a host that asks for a permit.

    :param wait_ms: time until there is a permit, 0 if it is granted
    :param return_ms: when a refused caller should return, as a time from now
    """

    __slots__ = ('granted', 'wait_ms', 'return_ms')

    def __init__(self, granted: bool, wait_ms: int = 0, return_ms: int = 0):
        self.granted = granted
        self.wait_ms = wait_ms
        self.return_ms = return_ms


class SharedLimits:
    """The limits that endpoints name, for the whole fleet.

    Not safe for several threads at a time.
    """

    __slots__ = ('_known', '_buckets')

    def __init__(self) -> None:
        self._known = named_limits.KnownLimits()
        self._buckets: dict[str, meters.TokenBucket] = {}

    def __len__(self) -> int:
        return len(self._buckets)

    def record(
        self, words: list[named_limits.LimitWord], now_ms: int
    ) -> list[named_limits.LimitWord]:
        """Records what a host tells; returns the words that are news."""
        news = []
        for word in words:
            if self._known.learn(word, now_ms):
                news.append(word)
                self._set_bucket(word.endpoint_id, now_ms)
            else:
                self._known.confirm(word, now_ms)
        return news

    def words(self, now_ms: int) -> list[named_limits.LimitWord]:
        """Returns what hosts are to know."""
        words = self._known.words(now_ms)
        self._drop_unlimited()
        return words

    def take(self, endpoint_id: str, now_ms: int) -> Permit:
        """Grants a permit for one request, or says when there is one."""
        bucket = self._buckets.get(endpoint_id)
        if bucket is None:
            return Permit(True)
        if bucket.allows(1.0, now_ms):
            bucket.charge(1.0, now_ms)
            return Permit(True)
        return Permit(
            False,
            bucket.wait_ms(1.0, now_ms),
            bucket.plan_return_ms(1.0, now_ms),
        )

    def has_room(self, endpoint_id: str, now_ms: int) -> bool:
        """Whether a request may be placed on an endpoint now."""
        bucket = self._buckets.get(endpoint_id)
        return bucket is None or bucket.allows(1.0, now_ms)

    def charge(self, endpoint_id: str, now_ms: int, count: int = 1) -> None:
        """Counts requests that are sent to an endpoint."""
        bucket = self._buckets.get(endpoint_id)
        if bucket is not None:
            bucket.charge(count, now_ms)

    def apply_list(self, endpoints: list[fleets.Endpoint]) -> None:
        """Drops the limits of endpoints that are gone or started again."""
        self._known.apply_list(endpoints)
        self._drop_unlimited()

    def set_cold(self, rates: dict[str, float], now_ms: int) -> list[str]:
        """Replaces the requests a second that cold endpoints take, by id.

        :returns: the endpoints whose rates changed
        """
        earlier, self._known.cold_rates = self._known.cold_rates, rates
        changed = [
            endpoint_id
            for endpoint_id in earlier.keys() | rates.keys()
            if earlier.get(endpoint_id) != rates.get(endpoint_id)
        ]
        for endpoint_id in changed:
            self._set_bucket(endpoint_id, now_ms)
        return changed

    def _set_bucket(self, endpoint_id: str, now_ms: int) -> None:
        known = self._known.get(endpoint_id)
        if known is None:
            self._buckets.pop(endpoint_id, None)
            return
        rate_per_s = known.rate_per_s
        burst = max(1.0, min(MAX_BURST, rate_per_s * BURST_MS / 1000))
        bucket = self._buckets.get(endpoint_id)
        if bucket is not None:
            bucket.set_limit(rate_per_s, burst, now_ms)
            return
        # An earlier leader may just have granted what there was.
        self._buckets[endpoint_id] = meters.TokenBucket(
            rate_per_s, burst, now_ms, initial_level=0.0
        )

    def _drop_unlimited(self) -> None:
        for endpoint_id in list(self._buckets):
            if self._known.get(endpoint_id) is None:
                del self._buckets[endpoint_id]
