"""What endpoints say of themselves in their answers.

An endpoint that leaves says so; one that turns a request away may ask the host
that sent it for a pause. Leaving is a fact of the endpoint, which one host may
learn for all. A pause is asked of one host and binds only that host.
"""

import random

from masticquay_routing import fleets
from masticquay_wire import records

# A pause ends so much later at most, so that hosts do not return all at once.
SPREAD_SHARE = 0.2
MIN_SPREAD_MS = 50
MAX_SPREAD_MS = 2_000
# A word that no list confirms counts for this long.
MAX_LEAVING_MS = 600_000
# The leader marks an endpoint within this time after a host told it.
CONFIRM_MS = 5_000
MAX_ENDED_WORDS = 1_000


class LeavingReport(records.Record):
    """What a host tells the leader of an endpoint that leaves.

    :param started_ms: the start of the endpoint that said so, 0 if unknown
    :param age_ms: how long ago the host heard it
    """

    __slots__ = ('endpoint_id', 'started_ms', 'age_ms')

    def __init__(self, endpoint_id: str, started_ms: int, age_ms: int):
        self.endpoint_id = endpoint_id
        self.started_ms = started_ms
        self.age_ms = age_ms


class _Word:
    """An endpoint's word that it leaves.

    :ivar told_ms: when the leader was first told, None before that
    :ivar was_listed: whether a list has shown the endpoint as leaving
    """

    __slots__ = ('started_ms', 'heard_ms', 'told_ms', 'was_listed')

    def __init__(self, started_ms: int, heard_ms: int):
        self.started_ms = started_ms
        self.heard_ms = heard_ms
        self.told_ms: int | None = None
        self.was_listed = False


class LeavingEndpoints:
    """The endpoints that said that they leave, by id.

    An endpoint is used again when the lists of one source, a leader or the
    platform itself, have shown it as leaving and do so no longer, or show
    another start of it. A word that was
    heard before that counts no more, whoever tells it.
    """

    __slots__ = ('_words', '_over_ms')

    def __init__(self) -> None:
        self._words: dict[str, _Word] = {}
        self._over_ms: dict[str, int] = {}

    def __contains__(self, endpoint_id: str) -> bool:
        return endpoint_id in self._words

    def __len__(self) -> int:
        return len(self._words)

    def add(self, endpoint_id: str, started_ms: int, heard_ms: int) -> bool:
        """Adds an endpoint's word; returns whether it is news."""
        if heard_ms <= self._over_ms.get(endpoint_id, -1):
            return False
        known = self._words.get(endpoint_id)
        if known is not None and known.started_ms == started_ms:
            return False
        self._words[endpoint_id] = _Word(started_ms, heard_ms)
        return True

    def begin_lists(self) -> None:
        """Keeps all words when the lists come from somewhere else from now on.

        What one source has marked, another may not know yet.
        """
        for word in self._words.values():
            word.told_ms = None
            word.was_listed = False

    def report(self, now_ms: int) -> list[LeavingReport]:
        """Returns what to tell the leader.

        The leader's list decides in the end: a word that it was told and does
        not confirm within ``CONFIRM_MS`` is dropped.
        """
        for endpoint_id, word in list(self._words.items()):
            if word.told_ms is None:
                word.told_ms = now_ms
            is_due = now_ms - word.told_ms > CONFIRM_MS
            if is_due and not word.was_listed:
                self._end(endpoint_id, now_ms)
        return [
            LeavingReport(endpoint_id, word.started_ms, now_ms - word.heard_ms)
            for endpoint_id, word in self._words.items()
        ]

    def apply_list(
        self, endpoints: list[fleets.Endpoint], now_ms: int
    ) -> None:
        """Ends the words that a list proves to be over."""
        listed = {endpoint.endpoint_id: endpoint for endpoint in endpoints}
        for endpoint_id, word in list(self._words.items()):
            if _is_over(word, listed.get(endpoint_id), now_ms):
                self._end(endpoint_id, now_ms)

    def mark(self, endpoints: list[fleets.Endpoint]) -> list[fleets.Endpoint]:
        """Returns the endpoints, with those known to leave marked so."""
        if not self._words:
            return endpoints
        return [
            _as_leaving(endpoint)
            if endpoint.endpoint_id in self._words
            else endpoint
            for endpoint in endpoints
        ]

    def _end(self, endpoint_id: str, now_ms: int) -> None:
        del self._words[endpoint_id]
        self._over_ms[endpoint_id] = now_ms
        if len(self._over_ms) > MAX_ENDED_WORDS:
            del self._over_ms[next(iter(self._over_ms))]


class Pauses:
    """The pauses that endpoints asked of one host.

    :param randomness: spreads the return
    """

    __slots__ = ('_until_ms', '_randomness')

    def __init__(self, randomness: random.Random):
        self._until_ms: dict[str, int] = {}
        self._randomness = randomness

    def add(self, endpoint_id: str, pause_ms: int, now_ms: int) -> None:
        """Adds a pause; the longest one asked for counts."""
        spread_ms = min(
            MAX_SPREAD_MS, max(MIN_SPREAD_MS, pause_ms * SPREAD_SHARE)
        )
        until_ms = now_ms + pause_ms
        until_ms += int(self._randomness.uniform(0, spread_ms))
        known_ms = self._until_ms.get(endpoint_id, 0)
        self._until_ms[endpoint_id] = max(known_ms, until_ms)

    def remaining_ms(self, endpoint_id: str, now_ms: int) -> int:
        """Returns the time until an endpoint may be used, 0 if it may."""
        return max(0, self._until_ms.get(endpoint_id, 0) - now_ms)

    def ids(self, now_ms: int) -> set[str]:
        """Returns the ids of the endpoints that want no requests now."""
        self._until_ms = {
            endpoint_id: until_ms
            for endpoint_id, until_ms in self._until_ms.items()
            if until_ms > now_ms
        }
        return set(self._until_ms)

    def shortest_ms(
        self, endpoints: list[fleets.Endpoint], now_ms: int
    ) -> int:
        """Returns the shortest pause if all endpoints want one, else 0.

        Those that leave do not count.
        """
        remaining_ms = [
            self.remaining_ms(endpoint.endpoint_id, now_ms)
            for endpoint in endpoints
            if not endpoint.leaving
        ]
        return min(remaining_ms, default=0)


def _is_over(word: _Word, listed: fleets.Endpoint | None, now_ms: int) -> bool:
    is_old = now_ms - word.heard_ms > MAX_LEAVING_MS
    if listed is None:
        # Its successor has another id.
        return is_old
    if listed.started_ms != word.started_ms:
        return True
    if listed.leaving:
        word.was_listed = True
        return False
    return word.was_listed or is_old


def _as_leaving(endpoint: fleets.Endpoint) -> fleets.Endpoint:
    fields = {name: getattr(endpoint, name) for name in endpoint.__slots__}
    return fleets.Endpoint(**{**fields, 'leaving': True})
