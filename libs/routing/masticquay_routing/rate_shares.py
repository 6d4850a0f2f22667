"""Shares of rate limits that processes use while there is no leader.

The shares of all processes together stay under each limit, whatever a request
costs and however many processes there are. Neither network nor clock is used:
callers pass the time in milliseconds.
"""

import random

from masticquay_routing import meters

# Parts of each rate and burst that all control replicas, and all entry hosts,
# use without the leader. A replica's share is worth several requests, while a
# host's is often worth less than one.
REPLICAS_SHARE = 0.5
HOSTS_SHARE = 0.25


class RateLimit:
    """The rate limit of a workspace.

    :param version: of the table that has it
    """

    __slots__ = ('workspace', 'rate_per_s', 'burst', 'version')

    def __init__(
        self, workspace: str, rate_per_s: float, burst: float, version: int
    ):
        self.workspace = workspace
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.version = version


class _ShareBucket:
    """The share of one limit; ``version`` is that of the limit."""

    __slots__ = ('bucket', 'version')

    def __init__(self, bucket: meters.TokenBucket, version: int):
        self.bucket = bucket
        self.version = version


class RateShares:
    """One process's shares of all limits.

    They are empty when the leader is lost and fill up while there is none: the
    lost leader may just have let a whole burst run, and a share that filled up
    under a leader would be let run beside what that leader allows.

    Not safe for several threads at a time.
    """

    __slots__ = ('_random', '_lost_ms', '_buckets')

    def __init__(self, randomness: random.Random):
        self._random = randomness
        self._lost_ms = 0
        self._buckets: dict[str, _ShareBucket] = {}

    def begin(self, lost_ms: int) -> None:
        """Empties all shares if the leader was lost another time.

        :param lost_ms: when it was lost
        """
        if lost_ms != self._lost_ms:
            self._lost_ms = lost_ms
            self._buckets.clear()

    def take(
        self, limit: RateLimit, share: float, cost: float, now_ms: int
    ) -> int:
        """Charges a cost if the share covers it.

        :param share: the part of the limit that is this process's
        :returns: 0 if it was charged, else the time in ms to wait
        """
        bucket = self._bucket(limit, share, now_ms)
        if bucket.level(now_ms) >= cost:
            bucket.charge(cost, now_ms)
            return 0
        return max(1, bucket.wait_ms(cost, now_ms))

    def draw(
        self, limit: RateLimit, share: float, cost: float, now_ms: int
    ) -> bool:
        """Charges a cost that the share may never cover, or refuses it.

        The request runs with the probability that the level bears to its
        cost, and the level is spent either way. So what many small shares let
        run comes to the sum of their levels.

        :returns: whether it may run
        """
        bucket = self._bucket(limit, share, now_ms)
        level = bucket.level(now_ms)
        bucket.charge(min(level, cost), now_ms)
        return self._random.random() * cost < level

    def level(self, limit: RateLimit, share: float, now_ms: int) -> float:
        """Returns what may be charged now."""
        return self._bucket(limit, share, now_ms).level(now_ms)

    def _bucket(
        self, limit: RateLimit, share: float, now_ms: int
    ) -> meters.TokenBucket:
        rate_per_s = limit.rate_per_s * share
        burst = limit.burst * share
        known = self._buckets.get(limit.workspace)
        if known is None:
            bucket = meters.TokenBucket(
                rate_per_s, burst, self._lost_ms, initial_level=0.0
            )
            known = _ShareBucket(bucket, limit.version)
            self._buckets[limit.workspace] = known
        elif known.version <= limit.version and (
            known.bucket.rate_per_s,
            known.bucket.burst,
        ) != (rate_per_s, burst):
            known.version = limit.version
            known.bucket.set_limit(rate_per_s, burst, now_ms)
        return known.bucket
