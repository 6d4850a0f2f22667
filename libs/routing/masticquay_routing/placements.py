"""Where model requests go: one pool's engines, queue and reservations.

The pool reserves decode memory for the whole answer before a prompt is
read, so that no prefill is made whose result finds no room. It needs
neither network nor clock: times are given in milliseconds.
"""

import collections
import typing

from masticquay_routing import fleets

BLOCK_TOKENS = 16
DEFAULT_OUTPUT_TOKENS = 1_000
# Answers in all stages of their making hold less than their full length.
OUTPUT_SHARE = 0.7
# Answers are often longer than their hint says.
HINT_FACTOR = 1.1
START_PREFILL_TOKENS_PER_MS = 30.0
PREFILL_RATE_GAIN = 0.1
# The weight of the first guess against what is learnt.
START_READ_TOKENS = 20_000.0
MIN_PREFILL_TOKENS_PER_MS = 15.0
MAX_PREFILL_TOKENS_PER_MS = 120.0
# Shorter prompts say more of the way than of the engine.
LEARN_MIN_TOKENS = 500
# A decode engine reads prompts at about half of the speed.
SELF_PREFILL_SLOWDOWN = 2.0
# Two prompts read on one decode engine need this much time between them, or
# its streams pause for too long.
SELF_PREFILL_SPACING_MS = 450
SELF_PREFILL_MAX_TOKENS = 3_000
PREFILL_BACKLOG_LIMIT_MS = 350
# With this backlog a decode engine reads a prompt of that size sooner.
PREFILL_SPILL_MS = 150
TRANSFER_ALLOWANCE_MS = 60
OTHER_PLACE_COST_MS = 25
# How much one outcome moves an engine's failure share; an engine that could
# not even be reached says more.
FAILURE_GAIN = 0.25
UNREACHED_GAIN = 0.5
# Above this failure share an engine is left aside for a while.
EJECT_FAILURE_SHARE = 0.55
FAILURE_COST = 100
# A broken stream goes back to its engine only if that is not known to fail.
PREFER_FAILURE_LIMIT = 0.4
EJECT_MIN_MS = 1_500
EJECT_MAX_MS = 12_000
# An engine that failed gets one request in this time until one succeeds.
PROBE_MS = 600
# Failures are no reason to leave aside more than this part of the engines.
EJECT_MAX_SHARE = 0.5
# What is late already leaves this much for what can still be on time.
LATE_MEMORY_SHARE = 0.8
LATE_BACKLOG_LIMIT_MS = 120
RETURN_MIN_MS = 400
# For how long, and of how many, a refusal is remembered.
REFUSED_MEMORY_MS = 20_000
REFUSED_MEMORY_SIZE = 10_000
# Refused requests come back spread over this time.
RETURN_SPREAD_MS = 1_500
RETURN_MAX_MS = 4_000

Key = tuple[str, int]


class Ticket:
    """A model request that asks for a place.

    :param key: the entry host and its number of the request
    :param prompt_tokens: tokens to read
    :param output_tokens: tokens that are expected to be made
    :param priority: 0 is the most urgent
    :param arrived_ms: when it asked
    :param urgent_until_ms: by when its first token is on time
    :param give_up_ms: when it is refused if there was no place
    :param late_give_up_ms: the same, for a request that was refused before
    :param prompt_key: the same for each attempt of a caller at a request,
        empty if unknown
    :param avoid: endpoints that must not be used
    :param prefer: the engine that keeps the prompt, empty for none
    :param prefilled: whether a handle to the prompt is at hand
    """

    __slots__ = (
        'key',
        'workspace',
        'prompt_tokens',
        'output_tokens',
        'priority',
        'arrived_ms',
        'urgent_until_ms',
        'give_up_ms',
        'late_give_up_ms',
        'prompt_key',
        'avoid',
        'prefer',
        'prefilled',
    )

    def __init__(
        self,
        key: Key,
        workspace: str,
        prompt_tokens: int,
        output_tokens: int,
        priority: int,
        arrived_ms: int,
        urgent_until_ms: int,
        give_up_ms: int,
        avoid: frozenset[str] = frozenset(),
        prefer: str = '',
        late_give_up_ms: int = 0,
        prompt_key: str = '',
        prefilled: bool = False,
    ):
        self.key = key
        self.workspace = workspace
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.priority = priority
        self.arrived_ms = arrived_ms
        self.urgent_until_ms = urgent_until_ms
        self.give_up_ms = give_up_ms
        self.avoid = avoid
        self.prefer = prefer
        self.late_give_up_ms = late_give_up_ms
        self.prompt_key = prompt_key
        self.prefilled = prefilled

    @property
    def memory_tokens(self) -> int:
        """The decode memory it needs, in whole blocks."""
        total = self.prompt_tokens + int(self.output_tokens * OUTPUT_SHARE)
        return -(-total // BLOCK_TOKENS) * BLOCK_TOKENS


class Placement:
    """Where a request runs.

    :param prefill: None when the decode engine reads the prompt itself
    :param prefill_ms: how long the prefill should take, its queue included
    """

    __slots__ = ('prefill', 'decode', 'prefill_ms')

    def __init__(
        self,
        prefill: fleets.Endpoint | None,
        decode: fleets.Endpoint,
        prefill_ms: int = 0,
    ):
        self.prefill = prefill
        self.decode = decode
        self.prefill_ms = prefill_ms


class Refusal:
    """Why a request gets no place, and when it may come again."""

    __slots__ = ('reason', 'retry_after_ms')

    def __init__(self, reason: str, retry_after_ms: int):
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class EngineState:
    """The account of one engine."""

    __slots__ = (
        'endpoint',
        'memory_tokens',
        'slots',
        'reserved_tokens',
        'running',
        'prefill_tokens',
        'prefill_since_ms',
        'self_prefill_ms',
        'failure_share',
        'failing_since_ms',
        'ejected_until_ms',
        'eject_ms',
        'switching_until_ms',
        'paused_until_ms',
    )

    def __init__(
        self, endpoint: fleets.Endpoint, memory_tokens: int, slots: int
    ):
        self.endpoint = endpoint
        self.memory_tokens = memory_tokens
        self.slots = slots
        self.reserved_tokens = 0
        self.running = 0
        self.prefill_tokens = 0
        self.prefill_since_ms = 0
        self.self_prefill_ms = -SELF_PREFILL_SPACING_MS
        self.failure_share = 0.0
        self.failing_since_ms: int | None = None
        self.ejected_until_ms = 0
        self.eject_ms = EJECT_MIN_MS
        self.switching_until_ms = 0
        self.paused_until_ms = 0

    def backlog_ms(self, tokens_per_ms: float, now_ms: int) -> float:
        """Returns the time until the prompts sent there are read."""
        if not self.prefill_tokens:
            return 0.0
        elapsed_ms = now_ms - self.prefill_since_ms
        return max(0.0, self.prefill_tokens / tokens_per_ms - elapsed_ms)

    def begin_prefill(self, tokens: int, now_ms: int) -> None:
        """Adds a prompt to those that the engine reads."""
        if not self.prefill_tokens:
            self.prefill_since_ms = now_ms
        self.prefill_tokens += tokens

    def end_prefill(self, tokens: int, now_ms: int) -> float:
        """Takes a prompt off; returns the time that it took alone."""
        duration_ms = now_ms - self.prefill_since_ms
        self.prefill_tokens = max(0, self.prefill_tokens - tokens)
        self.prefill_since_ms = now_ms
        return duration_ms

    def usable(self, now_ms: int) -> bool:
        """Whether new work may go there."""
        return (
            not self.endpoint.leaving
            and self.ejected_until_ms <= now_ms
            and self.switching_until_ms <= now_ms
            and self.paused_until_ms <= now_ms
        )

    def begin_probe(self, now_ms: int) -> None:
        """Sends an engine that failed no more until this request's outcome."""
        if self.failing_since_ms is not None:
            self.ejected_until_ms = now_ms + PROBE_MS

    def has_room(self, tokens: int, share: float = 1.0) -> bool:
        """Whether memory and a slot are free.

        :param share: the part of the memory that may be used
        """
        limit_tokens = int(self.memory_tokens * share)
        free_tokens = limit_tokens - self.reserved_tokens
        return free_tokens >= tokens and self.running < self.slots


class _Reservation:
    """What a placed request holds."""

    __slots__ = ('decode_id', 'tokens', 'prefill_id', 'prompt_tokens')

    def __init__(
        self, decode_id: str, tokens: int, prefill_id: str, prompt_tokens: int
    ):
        self.decode_id = decode_id
        self.tokens = tokens
        self.prefill_id = prefill_id
        self.prompt_tokens = prompt_tokens


Outcome = tuple[Ticket, Placement | Refusal]


class Pool:
    """The engines of one service and the requests that want them."""

    def __init__(self) -> None:
        self.engines: dict[str, EngineState] = {}
        self._reservations: dict[Key, _Reservation] = {}
        self._queue: list[Ticket] = []
        self._prefill_tokens_per_ms = START_PREFILL_TOKENS_PER_MS
        self._read_tokens = START_READ_TOKENS
        self._read_duration_ms = (
            START_READ_TOKENS / START_PREFILL_TOKENS_PER_MS
        )
        self._refused: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    @property
    def queue_length(self) -> int:
        """How many requests wait for a place."""
        return len(self._queue)

    @property
    def running_count(self) -> int:
        """How many requests hold a place."""
        return len(self._reservations)

    @property
    def prefill_tokens_per_ms(self) -> float:
        """How fast a prefill engine reads prompts, as learnt."""
        return self._prefill_tokens_per_ms

    def set_engines(
        self,
        endpoints: list[fleets.Endpoint],
        memory_tokens: int,
        slots: int,
    ) -> None:
        """Takes up the list of engines, keeping accounts."""
        listed = {endpoint.endpoint_id: endpoint for endpoint in endpoints}
        for endpoint_id in list(self.engines):
            if endpoint_id not in listed:
                del self.engines[endpoint_id]
        for endpoint_id, endpoint in listed.items():
            state = self.engines.get(endpoint_id)
            if state is None:
                state = EngineState(endpoint, memory_tokens, slots)
                self.engines[endpoint_id] = state
                self._recount(state)
            if state.endpoint.role != endpoint.role:
                state.switching_until_ms = 0
            state.endpoint = endpoint
            state.memory_tokens = memory_tokens
            state.slots = slots

    def admit(self, ticket: Ticket) -> None:
        """Queues a request; ``pump`` places it.

        One that was refused before cannot be on time any more.
        """
        if ticket.prompt_key in self._refused:
            ticket.urgent_until_ms = ticket.arrived_ms
            ticket.give_up_ms = max(ticket.give_up_ms, ticket.late_give_up_ms)
        self._queue.append(ticket)

    def withdraw(self, key: Key, sound: bool = False) -> None:
        """Drops a request that waits, or frees what it holds.

        :param sound: whether its decode engine served it
        """
        self._queue = [t for t in self._queue if t.key != key]
        reservation = self._reservations.get(key)
        if sound and reservation is not None:
            self._note_sound(reservation.decode_id)
        self.release(key)

    def adopt(
        self, key: Key, decode_id: str, tokens: int, prompt_tokens: int
    ) -> None:
        """Takes up a request that an earlier owner of the pool placed."""
        if key not in self._reservations:
            self._reserve(
                key, _Reservation(decode_id, tokens, '', prompt_tokens)
            )

    def begin_decode(self, key: Key) -> None:
        """Notes that the first token of a request is there."""
        reservation = self._reservations.get(key)
        if reservation is not None:
            self._note_sound(reservation.decode_id)

    def finish_prefill(self, key: Key, now_ms: int) -> None:
        """Notes that a prompt was read, and learns how fast."""
        reservation = self._reservations.get(key)
        if reservation is None or not reservation.prefill_id:
            return
        self._note_sound(reservation.prefill_id)
        duration_ms = self._end_prefill(reservation, now_ms)
        if reservation.prompt_tokens < LEARN_MIN_TOKENS:
            return
        # Prompts read in one batch end together, so times are added up.
        kept = 1 - PREFILL_RATE_GAIN
        self._read_tokens = kept * self._read_tokens + (
            reservation.prompt_tokens
        )
        self._read_duration_ms = kept * self._read_duration_ms + duration_ms
        rate = self._read_tokens / self._read_duration_ms
        rate = min(MAX_PREFILL_TOKENS_PER_MS, rate)
        self._prefill_tokens_per_ms = max(MIN_PREFILL_TOKENS_PER_MS, rate)

    def release(self, key: Key) -> None:
        """Frees what a finished request held."""
        reservation = self._reservations.pop(key, None)
        if reservation is None:
            return
        if reservation.prefill_id:
            prefill = self.engines.get(reservation.prefill_id)
            if prefill is not None:
                prefill.prefill_tokens = max(
                    0, prefill.prefill_tokens - reservation.prompt_tokens
                )
        state = self.engines.get(reservation.decode_id)
        if state is not None:
            state.running -= 1
            state.reserved_tokens -= reservation.tokens

    def release_host(self, host: str) -> None:
        """Frees everything of a host that is gone."""
        self._queue = [t for t in self._queue if t.key[0] != host]
        for key in [k for k in self._reservations if k[0] == host]:
            self.release(key)

    def note_trouble(
        self, endpoint_id: str, now_ms: int, reached: bool = True
    ) -> None:
        """Leaves an engine aside that fails again and again.

        :param reached: whether a connection to it was had
        """
        state = self.engines.get(endpoint_id)
        if state is None or state.ejected_until_ms > now_ms:
            return
        gain = FAILURE_GAIN if reached else UNREACHED_GAIN
        state.failure_share += gain * (1 - state.failure_share)
        if state.failure_share < EJECT_FAILURE_SHARE:
            return
        ejected = sum(
            e.ejected_until_ms > now_ms for e in self.engines.values()
        )
        if ejected + 1 > len(self.engines) * EJECT_MAX_SHARE:
            return
        # The next outcome decides whether it stays in use.
        state.failure_share = EJECT_FAILURE_SHARE - FAILURE_GAIN / 2
        if state.failing_since_ms is None:
            state.failing_since_ms = now_ms
        if self._is_last_of_role(state, now_ms):
            # Tried again soon, since nothing takes its place.
            state.eject_ms = EJECT_MIN_MS
        state.ejected_until_ms = now_ms + state.eject_ms
        state.eject_ms = min(EJECT_MAX_MS, state.eject_ms * 2)

    def note_refusal(
        self, endpoint_id: str, now_ms: int, pause_ms: int
    ) -> None:
        """Places nothing more on an engine that refuses, for a while.

        It is sound, but its memory or role is not what is known of it.
        """
        state = self.engines.get(endpoint_id)
        if state is not None:
            state.paused_until_ms = now_ms + pause_ms

    def _is_last_of_role(self, state: EngineState, now_ms: int) -> bool:
        role = state.endpoint.role
        return not any(
            e is not state and e.endpoint.role == role and e.usable(now_ms)
            for e in self.engines.values()
        )

    def _note_sound(self, endpoint_id: str) -> None:
        state = self.engines.get(endpoint_id)
        if state is not None:
            state.failure_share *= 1 - FAILURE_GAIN
            if state.failing_since_ms is not None:
                state.failing_since_ms = None
                state.ejected_until_ms = 0
            state.eject_ms = EJECT_MIN_MS

    def pump(self, now_ms: int) -> list[Outcome]:
        """Places what can be placed and refuses what waited too long."""
        outcomes: list[Outcome] = []
        waiting = []
        for ticket in sorted(self._queue, key=lambda t: _rank(t, now_ms)):
            placement = self._place(ticket, now_ms)
            if placement is not None:
                outcomes.append((ticket, placement))
            elif now_ms >= ticket.give_up_ms:
                outcomes.append((ticket, self._refuse(ticket, now_ms)))
            else:
                waiting.append(ticket)
        self._queue = waiting
        return outcomes

    def describe(self, now_ms: int) -> dict[str, object]:
        """Returns figures on the pool for a log line."""
        prefills, decodes = self.roles(now_ms)
        return {
            'waiting': len(self._queue),
            'running': len(self._reservations),
            'prefill_backlog_ms': [
                round(e.backlog_ms(self._prefill_tokens_per_ms, now_ms))
                for e in prefills
            ],
            'decode_reserved_tokens': [e.reserved_tokens for e in decodes],
            'decode_running': [e.running for e in decodes],
            'unusable': len(self.engines) - len(prefills) - len(decodes),
            'prefill_tokens_per_ms': round(self._prefill_tokens_per_ms, 1),
        }

    def roles(self, now_ms: int) -> tuple[list, list]:
        """Returns the usable prefill and decode engines."""
        usable = [e for e in self.engines.values() if e.usable(now_ms)]
        prefill = [e for e in usable if e.endpoint.role == fleets.ROLE_PREFILL]
        decode = [e for e in usable if e.endpoint.role == fleets.ROLE_DECODE]
        return prefill, decode

    def _place(self, ticket: Ticket, now_ms: int) -> Placement | None:
        prefills, decodes = self.roles(now_ms)
        late = now_ms >= ticket.urgent_until_ms and not ticket.prefer
        share = LATE_MEMORY_SHARE if late else 1.0
        roomy = [
            e
            for e in decodes
            if e.has_room(ticket.memory_tokens, share)
            and e.endpoint.endpoint_id not in ticket.avoid
        ]
        if not roomy:
            return None
        keeper = self.engines.get(ticket.prefer)
        if keeper in roomy and keeper.failure_share < PREFER_FAILURE_LIMIT:
            return self._hold_whole(ticket, keeper)
        if ticket.prefilled:
            decode = min(roomy, key=lambda e: _decode_cost(e, ''))
            return self._hold_whole(ticket, decode)
        prefills = [
            e for e in prefills if e.endpoint.endpoint_id not in ticket.avoid
        ]
        prefill = min(
            prefills,
            key=lambda e: self._prefill_cost_ms(e, now_ms),
            default=None,
        )
        if prefill is not None:
            backlog_ms = prefill.backlog_ms(
                self._prefill_tokens_per_ms, now_ms
            )
            if late:
                if backlog_ms > LATE_BACKLOG_LIMIT_MS:
                    return None
                return self._place_apart(ticket, prefill, roomy, now_ms)
            if backlog_ms > PREFILL_SPILL_MS:
                whole = self._place_whole(ticket, roomy, now_ms, False)
                if whole is not None:
                    return whole
            if backlog_ms > PREFILL_BACKLOG_LIMIT_MS:
                return None
            first_ms = now_ms + backlog_ms + self._read_ms(ticket)
            if first_ms > ticket.urgent_until_ms and not ticket.prefer:
                return None
            return self._place_apart(ticket, prefill, roomy, now_ms)
        return self._place_whole(ticket, roomy, now_ms, prefill is None)

    def _place_apart(
        self,
        ticket: Ticket,
        prefill: EngineState,
        roomy: list[EngineState],
        now_ms: int,
    ) -> Placement:
        prefill.begin_prefill(ticket.prompt_tokens, now_ms)
        prefill.begin_probe(now_ms)
        place = prefill.endpoint.place
        decode = min(roomy, key=lambda e: _decode_cost(e, place))
        self._reserve(
            ticket.key,
            _Reservation(
                decode.endpoint.endpoint_id,
                ticket.memory_tokens,
                prefill.endpoint.endpoint_id,
                ticket.prompt_tokens,
            ),
        )
        decode.begin_probe(now_ms)
        prefill_ms = prefill.backlog_ms(self._prefill_tokens_per_ms, now_ms)
        return Placement(prefill.endpoint, decode.endpoint, int(prefill_ms))

    def _place_whole(
        self,
        ticket: Ticket,
        roomy: list[EngineState],
        now_ms: int,
        alone: bool,
    ) -> Placement | None:
        """Lets a decode engine read the prompt, where that disturbs little.

        :param alone: whether there is no prefill engine
        """
        if ticket.prompt_tokens > SELF_PREFILL_MAX_TOKENS and not alone:
            return None
        rested = [
            e
            for e in roomy
            if now_ms - e.self_prefill_ms >= SELF_PREFILL_SPACING_MS
        ]
        first_ms = now_ms + SELF_PREFILL_SLOWDOWN * self._read_ms(ticket)
        if not rested or (first_ms > ticket.urgent_until_ms and not alone):
            return None
        decode = min(rested, key=lambda e: e.running)
        decode.self_prefill_ms = now_ms
        decode.begin_probe(now_ms)
        return self._hold_whole(ticket, decode)

    def _read_ms(self, ticket: Ticket) -> float:
        """Returns the time from the start of a prefill to the first token."""
        duration_ms = ticket.prompt_tokens / self._prefill_tokens_per_ms
        return duration_ms + TRANSFER_ALLOWANCE_MS

    def _hold_whole(self, ticket: Ticket, decode: EngineState) -> Placement:
        self._reserve(
            ticket.key,
            _Reservation(
                decode.endpoint.endpoint_id,
                ticket.memory_tokens,
                '',
                ticket.prompt_tokens,
            ),
        )
        return Placement(None, decode.endpoint)

    def _note_refused(self, ticket: Ticket, now_ms: int) -> None:
        if ticket.prompt_key:
            self._refused[ticket.prompt_key] = now_ms
        oldest_ms = now_ms - REFUSED_MEMORY_MS
        while self._refused and (
            len(self._refused) > REFUSED_MEMORY_SIZE
            or next(iter(self._refused.values())) < oldest_ms
        ):
            self._refused.popitem(last=False)

    def _prefill_cost_ms(self, state: EngineState, now_ms: int) -> float:
        backlog_ms = state.backlog_ms(self._prefill_tokens_per_ms, now_ms)
        return backlog_ms + state.failure_share * PREFILL_BACKLOG_LIMIT_MS

    def _end_prefill(self, reservation: _Reservation, now_ms: int) -> float:
        prefill = self.engines.get(reservation.prefill_id)
        reservation.prefill_id = ''
        if prefill is None:
            return 0.0
        return prefill.end_prefill(reservation.prompt_tokens, now_ms)

    def _reserve(self, key: Key, reservation: _Reservation) -> None:
        self._reservations[key] = reservation
        state = self.engines.get(reservation.decode_id)
        if state is not None:
            state.running += 1
            state.reserved_tokens += reservation.tokens

    def _recount(self, state: EngineState) -> None:
        for reservation in self._reservations.values():
            if reservation.decode_id == state.endpoint.endpoint_id:
                state.running += 1
                state.reserved_tokens += reservation.tokens

    def _refuse(self, ticket: Ticket, now_ms: int) -> Refusal:
        """Spreads the returns over the time that the queue needs."""
        self._note_refused(ticket, now_ms)
        _prefills, decodes = self.roles(now_ms)
        spread_ms = ticket.key[1] * 97 % RETURN_SPREAD_MS
        if not decodes:
            return Refusal('no engine', RETURN_MAX_MS // 2 + spread_ms)
        per_engine = len(self._queue) / max(1, len(decodes))
        wait_ms = RETURN_MIN_MS + int(per_engine * RETURN_MIN_MS) + spread_ms
        return Refusal('engines full', min(RETURN_MAX_MS, wait_ms))


def _rank(ticket: Ticket, now_ms: int) -> tuple:
    """Requests that can be on time go first, then by priority and age."""
    late = now_ms >= ticket.urgent_until_ms
    return (late, ticket.priority, ticket.arrived_ms)


def _decode_cost(state: EngineState, place: str) -> float:
    used = state.reserved_tokens / max(1, state.memory_tokens)
    cost = used * 100
    cost += state.failure_share * FAILURE_COST
    if state.endpoint.place != place:
        cost += OTHER_PLACE_COST_MS
    return cost


def expected_output(hint_tokens: int | None, limit_tokens: int) -> int:
    """Returns how many tokens an answer is expected to have.

    :param hint_tokens: the caller's estimate, right at the median
    :param limit_tokens: the most that it may have, 0 if unknown
    """
    expected = DEFAULT_OUTPUT_TOKENS
    if hint_tokens is not None:
        expected = int(hint_tokens * HINT_FACTOR)
    elif limit_tokens:
        expected = limit_tokens
    if limit_tokens:
        expected = min(expected, limit_tokens)
    return max(1, expected)


Clock = typing.Callable[[], int]
