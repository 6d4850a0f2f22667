"""Limits that endpoints name, as one host knows them.

An endpoint in need names the requests a second that it takes from all hosts
together. Hosts tell the leader what they hear, and ask it for a permit before
each request to such an endpoint; see ``shared_limits``. A host without a
leader keeps to a small fixed part of the limit.

Neither network nor clock is used: callers pass the time in milliseconds.
"""

import random

from masticquay_routing import fleets
from masticquay_wire import records

# Lower limits count as this one: a request now and then shows whether the
# endpoint still names its limit.
MIN_RATE_PER_S = 0.1
# Part of a limit that all hosts together use without a leader.
LEADERLESS_SHARE = 0.5
# A limit that was not named again for this long counts no more.
MAX_AGE_MS = 60_000
# The end of a limit is told to the others for this long.
TELL_END_MS = 10_000
# Refused callers are told to return after this time at most.
MAX_RETURN_MS = 5_000


class LimitWord(records.Record):
    """What is known of an endpoint's limit, as processes tell each other.

    :param started_ms: the start of the endpoint that named it, 0 if unknown
    :param limit_per_s: None if the endpoint names no limit any more
    :param age_ms: how long ago the endpoint said so
    """

    __slots__ = ('endpoint_id', 'started_ms', 'limit_per_s', 'age_ms')

    def __init__(
        self,
        endpoint_id: str,
        started_ms: int,
        limit_per_s: float | None,
        age_ms: int,
    ):
        self.endpoint_id = endpoint_id
        self.started_ms = started_ms
        self.limit_per_s = limit_per_s
        self.age_ms = age_ms


class KnownLimit:
    """The last that is known of an endpoint's limit.

    :ivar limit_per_s: None if it names no limit any more
    :ivar heard_ms: when the endpoint said so
    """

    __slots__ = ('started_ms', 'limit_per_s', 'heard_ms')

    def __init__(
        self, started_ms: int, limit_per_s: float | None, heard_ms: int
    ):
        self.started_ms = started_ms
        self.limit_per_s = limit_per_s
        self.heard_ms = heard_ms

    @property
    def rate_per_s(self) -> float:
        """The requests a second to send at most, while a limit is named."""
        return max(MIN_RATE_PER_S, self.limit_per_s or 0.0)

    def is_over(self, now_ms: int) -> bool:
        """Whether it says nothing any more."""
        kept_ms = TELL_END_MS if self.limit_per_s is None else MAX_AGE_MS
        return now_ms - self.heard_ms > kept_ms

    def to_word(self, endpoint_id: str, now_ms: int) -> LimitWord:
        """Returns what to tell other processes."""
        return LimitWord(
            endpoint_id,
            self.started_ms,
            self.limit_per_s,
            max(0, now_ms - self.heard_ms),
        )


class KnownLimits:
    """The newest word on each endpoint's limit.

    :ivar cold_rates: the requests a second that cold endpoints take, by id.
        Each process knows them from the endpoint list, so they are not told.
    """

    __slots__ = ('_known', 'cold_rates')

    def __init__(self) -> None:
        self._known: dict[str, KnownLimit] = {}
        self.cold_rates: dict[str, float] = {}

    def get(self, endpoint_id: str) -> KnownLimit | None:
        """Returns an endpoint's limit, None if it has none.

        The lower holds of what it names and what it takes while it is cold.
        """
        named = self._named(endpoint_id)
        cold_rate_per_s = self.cold_rates.get(endpoint_id)
        if cold_rate_per_s is None:
            return named
        if named is not None and named.rate_per_s <= cold_rate_per_s:
            return named
        return KnownLimit(0, cold_rate_per_s, 0)

    def to_word(self, endpoint_id: str, now_ms: int) -> LimitWord:
        """Returns what an endpoint names, to ask for a permit.

        The word on one that names nothing is too old to count anywhere.
        """
        named = self._named(endpoint_id)
        if named is None:
            return LimitWord(endpoint_id, 0, None, MAX_AGE_MS + 1)
        return named.to_word(endpoint_id, now_ms)

    def _named(self, endpoint_id: str) -> KnownLimit | None:
        known = self._known.get(endpoint_id)
        if known is None or known.limit_per_s is None:
            return None
        return known

    def hear(
        self,
        endpoint: fleets.Endpoint,
        limit_per_s: float | None,
        now_ms: int,
    ) -> bool:
        """Records what an endpoint says in an answer.

        :returns: whether it is a change
        """
        known = self._named(endpoint.endpoint_id)
        if known is None and limit_per_s is None:
            return False
        self._known[endpoint.endpoint_id] = KnownLimit(
            endpoint.started_ms, limit_per_s, now_ms
        )
        return known is None or known.limit_per_s != limit_per_s

    def learn(self, word: LimitWord, now_ms: int) -> bool:
        """Records what another process tells; returns whether it is news.

        The same word told back and forth does not grow younger by the time
        that messages take.
        """
        told = KnownLimit(
            word.started_ms, word.limit_per_s, now_ms - word.age_ms
        )
        known = self._known.get(word.endpoint_id)
        if told.is_over(now_ms) or not _replaces(known, told):
            return False
        self._known[word.endpoint_id] = told
        return known is not None or told.limit_per_s is not None

    def confirm(self, word: LimitWord, now_ms: int) -> None:
        """Records that a host has heard the known word again."""
        known = self._known.get(word.endpoint_id)
        if known is not None and known.limit_per_s == word.limit_per_s:
            known.heard_ms = max(known.heard_ms, now_ms - word.age_ms)

    def words(self, now_ms: int) -> list[LimitWord]:
        """Returns all that is known, to tell other processes."""
        for endpoint_id, known in list(self._known.items()):
            if known.is_over(now_ms):
                del self._known[endpoint_id]
        return [
            known.to_word(endpoint_id, now_ms)
            for endpoint_id, known in self._known.items()
        ]

    def apply_list(self, endpoints: list[fleets.Endpoint]) -> None:
        """Drops what was said by endpoints that are gone or started again."""
        if not self._known:
            return
        started_ms = {e.endpoint_id: e.started_ms for e in endpoints}
        for endpoint_id, known in list(self._known.items()):
            if started_ms.get(endpoint_id) != known.started_ms:
                del self._known[endpoint_id]

    def ids(self) -> list[str]:
        """Returns the endpoints that name a limit."""
        return [i for i, k in self._known.items() if k.limit_per_s is not None]


class _Use:
    """When a host may send to one endpoint.

    :ivar denied_until_ms: the leader has no permit until then
    :ivar return_ms: when the next refused caller should return
    :ivar leaderless_from_ms: when the host may send next without a leader,
        None while there is one
    """

    __slots__ = ('denied_until_ms', 'return_ms', 'leaderless_from_ms')

    def __init__(self) -> None:
        self.denied_until_ms = 0
        self.return_ms = 0
        self.leaderless_from_ms: int | None = None


class HostLimits:
    """The limits that a host keeps to.

    :param randomness: spreads the hosts' requests without a leader
    """

    __slots__ = ('known', '_randomness', '_uses')

    def __init__(self, randomness: random.Random):
        self.known = KnownLimits()
        self._randomness = randomness
        self._uses: dict[str, _Use] = {}

    def is_full(
        self, endpoint_id: str, now_ms: int, host_count: int, has_leader: bool
    ) -> bool:
        """Whether this host need not try to send to an endpoint now.

        :param host_count: number of hosts that share a limit without a leader
        """
        known = self.known.get(endpoint_id)
        if known is None:
            return False
        use = self._use(endpoint_id)
        if has_leader:
            use.leaderless_from_ms = None
            return use.denied_until_ms > now_ms
        if use.leaderless_from_ms is None:
            interval_ms = _leaderless_interval_ms(known, host_count)
            first_ms = int(self._randomness.uniform(0, interval_ms))
            use.leaderless_from_ms = now_ms + first_ms
        return use.leaderless_from_ms > now_ms

    def take_without_leader(
        self, endpoint_id: str, now_ms: int, host_count: int
    ) -> bool:
        """Counts a request that is about to be sent without a leader.

        :returns: whether it may be sent
        """
        known = self.known.get(endpoint_id)
        if known is None:
            return True
        if self.is_full(endpoint_id, now_ms, host_count, has_leader=False):
            return False
        interval_ms = _leaderless_interval_ms(known, host_count)
        self._use(endpoint_id).leaderless_from_ms = now_ms + interval_ms
        return True

    def deny(
        self, endpoint_id: str, wait_ms: int, return_ms: int, now_ms: int
    ) -> None:
        """Records that the leader has no permit for an endpoint.

        :param wait_ms: time until there is one
        :param return_ms: when a refused caller should return, as a time from
            now
        """
        use = self._use(endpoint_id)
        use.denied_until_ms = now_ms + wait_ms
        use.return_ms = max(use.return_ms, now_ms + return_ms)

    def plan_return_ms(
        self, endpoints: list[fleets.Endpoint], now_ms: int, host_count: int
    ) -> int:
        """Returns when a refused caller should return, as a time from now.

        Callers that are refused one after the other return one after the
        other.

        :returns: 0 if one of the endpoints names no limit, or if there are
            none
        """
        limited = [self.known.get(e.endpoint_id) for e in endpoints]
        if not limited or None in limited:
            return 0
        uses = [self._use(e.endpoint_id) for e in endpoints]
        use = min(uses, key=lambda u: u.return_ms)
        wait_ms = max(1, min(MAX_RETURN_MS, use.return_ms - now_ms))
        rate_per_s = sum(known.rate_per_s for known in limited if known)
        use.return_ms = now_ms + wait_ms
        use.return_ms += int(1000 * max(1, host_count) / rate_per_s)
        return wait_ms

    def _use(self, endpoint_id: str) -> _Use:
        use = self._uses.get(endpoint_id)
        if use is None:
            self._drop_old_uses()
            use = self._uses[endpoint_id] = _Use()
        return use

    def _drop_old_uses(self) -> None:
        for endpoint_id in list(self._uses):
            if self.known.get(endpoint_id) is None:
                del self._uses[endpoint_id]


def _leaderless_interval_ms(known: KnownLimit, host_count: int) -> int:
    rate_per_s = known.rate_per_s * LEADERLESS_SHARE
    return int(1000 * max(1, host_count) / rate_per_s)


def _replaces(known: KnownLimit | None, told: KnownLimit) -> bool:
    if known is None:
        return True
    if known.started_ms != told.started_ms:
        return told.started_ms > known.started_ms
    return (
        told.limit_per_s != known.limit_per_s
        and told.heard_ms > known.heard_ms
    )
