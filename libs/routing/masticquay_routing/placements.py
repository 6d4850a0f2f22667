"""Where model requests go: one pool's engines, queue and reservations.

The pool reserves decode memory for the whole answer before a prompt is
read, so that no prefill is made whose result finds no room. It needs
neither network nor clock: times are given in milliseconds.
"""

from masticquay_routing import engine_states
from masticquay_routing import fleets
from masticquay_routing import refused_prompts
from masticquay_routing import speeds
from masticquay_routing import tickets

# Streams may pause for this part of what counts as on time while their
# engine reads a prompt.
STALL_SHARE = 0.85
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
EJECT_MAX_MS = 12_000
# Failures are no reason to leave aside more than this part of the engines.
EJECT_MAX_SHARE = 0.5
# What is late already leaves this much for what can still be on time.
LATE_MEMORY_SHARE = 0.8
LATE_BACKLOG_LIMIT_MS = 120
RETURN_MIN_MS = 400
# Refused requests come back spread over this time.
RETURN_SPREAD_MS = 1_500
RETURN_MAX_MS = 4_000


class _Reservation:
    """What a placed request holds.

    :param reads_since_ms: since when the decode engine reads the prompt
        itself, None when it does not
    """

    __slots__ = (
        'decode_id',
        'tokens',
        'prefill_id',
        'prompt_tokens',
        'reads_since_ms',
    )

    def __init__(
        self,
        decode_id: str,
        tokens: int,
        prefill_id: str,
        prompt_tokens: int,
        reads_since_ms: int | None = None,
    ):
        self.decode_id = decode_id
        self.tokens = tokens
        self.prefill_id = prefill_id
        self.prompt_tokens = prompt_tokens
        self.reads_since_ms = reads_since_ms


Outcome = tuple[tickets.Ticket, tickets.Placement | tickets.Refusal]


class Pool:
    """The engines of one service and the requests that want them."""

    def __init__(self) -> None:
        self.engines: dict[str, engine_states.EngineState] = {}
        self._reservations: dict[tickets.Key, _Reservation] = {}
        self._queue: list[tickets.Ticket] = []
        self._speed = speeds.PrefillSpeed()
        self._refused = refused_prompts.RefusedPrompts()

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
        return self._speed.tokens_per_ms

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
                state = engine_states.EngineState(
                    endpoint, memory_tokens, slots
                )
                self.engines[endpoint_id] = state
                self._recount(state)
            if state.endpoint.role != endpoint.role:
                state.switching_until_ms = 0
            state.endpoint = endpoint
            state.memory_tokens = memory_tokens
            state.slots = slots

    def admit(self, ticket: tickets.Ticket) -> None:
        """Queues a request; ``pump`` places it.

        One that was refused before cannot be on time any more.
        """
        if ticket.prompt_key in self._refused:
            ticket.urgent_until_ms = ticket.arrived_ms
            ticket.give_up_ms = max(ticket.give_up_ms, ticket.late_give_up_ms)
        self._queue.append(ticket)

    def withdraw(self, key: tickets.Key, sound: bool = False) -> None:
        """Drops a request that waits, or frees what it holds.

        :param sound: whether its decode engine served it
        """
        self._queue = [t for t in self._queue if t.key != key]
        reservation = self._reservations.get(key)
        if sound and reservation is not None:
            self._note_sound(reservation.decode_id)
        self.release(key)

    def adopt(
        self, key: tickets.Key, decode_id: str, tokens: int, prompt_tokens: int
    ) -> None:
        """Takes up a request that an earlier owner of the pool placed."""
        if key not in self._reservations:
            self._reserve(
                key, _Reservation(decode_id, tokens, '', prompt_tokens)
            )

    def begin_decode(self, key: tickets.Key, now_ms: int) -> None:
        """Notes that the first token of a request is there."""
        reservation = self._reservations.get(key)
        if reservation is None:
            return
        self._note_sound(reservation.decode_id)
        state = self.engines.get(reservation.decode_id)
        if state is not None and reservation.reads_since_ms is not None:
            state.learn_stall(
                reservation.prompt_tokens,
                now_ms - reservation.reads_since_ms,
                self._speed.tokens_per_ms,
            )

    def finish_prefill(self, key: tickets.Key, now_ms: int) -> None:
        """Notes that a prompt was read, and learns how fast."""
        reservation = self._reservations.get(key)
        if reservation is None or not reservation.prefill_id:
            return
        self._note_sound(reservation.prefill_id)
        duration_ms = self._end_prefill(reservation, now_ms)
        if duration_ms is not None:
            self._speed.learn(reservation.prompt_tokens, duration_ms)

    def release(self, key: tickets.Key) -> None:
        """Frees what a finished request held."""
        reservation = self._reservations.pop(key, None)
        if reservation is None:
            return
        if reservation.prefill_id:
            prefill = self.engines.get(reservation.prefill_id)
            if prefill is not None:
                prefill.fail_prefill(reservation.prompt_tokens)
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
            state.eject_ms = engine_states.EJECT_MIN_MS
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

    def _is_last_of_role(
        self, state: engine_states.EngineState, now_ms: int
    ) -> bool:
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
            state.eject_ms = engine_states.EJECT_MIN_MS

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
                round(e.backlog_ms(self._speed.tokens_per_ms, now_ms))
                for e in prefills
            ],
            'decode_reserved_tokens': [e.reserved_tokens for e in decodes],
            'decode_running': [e.running for e in decodes],
            'decode_slowdown': [round(e.self_slowdown, 1) for e in decodes],
            'unusable': len(self.engines) - len(prefills) - len(decodes),
            'prefill_tokens_per_ms': round(self._speed.tokens_per_ms, 1),
        }

    def roles(self, now_ms: int) -> tuple[list, list]:
        """Returns the usable prefill and decode engines."""
        usable = [e for e in self.engines.values() if e.usable(now_ms)]
        prefill = [e for e in usable if e.endpoint.role == fleets.ROLE_PREFILL]
        decode = [e for e in usable if e.endpoint.role == fleets.ROLE_DECODE]
        return prefill, decode

    def _place(
        self, ticket: tickets.Ticket, now_ms: int
    ) -> tickets.Placement | None:
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
            backlog_ms = prefill.backlog_ms(self._speed.tokens_per_ms, now_ms)
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
        ticket: tickets.Ticket,
        prefill: engine_states.EngineState,
        roomy: list[engine_states.EngineState],
        now_ms: int,
    ) -> tickets.Placement:
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
        prefill_ms = prefill.backlog_ms(self._speed.tokens_per_ms, now_ms)
        return tickets.Placement(
            prefill.endpoint, decode.endpoint, int(prefill_ms)
        )

    def _place_whole(
        self,
        ticket: tickets.Ticket,
        roomy: list[engine_states.EngineState],
        now_ms: int,
        alone: bool,
    ) -> tickets.Placement | None:
        """Lets a decode engine read the prompt, where that disturbs little.

        :param alone: whether there is no prefill engine
        """
        rested = [
            e
            for e in roomy
            if now_ms - e.self_prefill_ms
            >= engine_states.SELF_PREFILL_SPACING_MS
        ]
        limit_ms = ticket.pause_ms * STALL_SHARE
        gentle = [e for e in rested if self._stall_ms(e, ticket) <= limit_ms]
        if gentle:
            decode = min(
                gentle, key=lambda e: (e.reads_long(now_ms), e.running)
            )
        elif alone and rested:
            # Long prompts go where streams are late already.
            decode = max(rested, key=lambda e: (e.long_read_ms, -e.running))
            decode.long_read_ms = now_ms
        else:
            return None
        first_ms = now_ms + self._stall_ms(decode, ticket)
        if first_ms > ticket.urgent_until_ms and not alone:
            return None
        decode.self_prefill_ms = now_ms
        decode.begin_probe(now_ms)
        return self._hold_whole(ticket, decode, now_ms)

    def _stall_ms(
        self, state: engine_states.EngineState, ticket: tickets.Ticket
    ) -> float:
        tokens_per_ms = self._speed.tokens_per_ms
        return state.stall_ms(ticket.prompt_tokens, tokens_per_ms)

    def _read_ms(self, ticket: tickets.Ticket) -> float:
        """Returns the time from the start of a prefill to the first token."""
        duration_ms = ticket.prompt_tokens / self._speed.tokens_per_ms
        return duration_ms + TRANSFER_ALLOWANCE_MS

    def _hold_whole(
        self,
        ticket: tickets.Ticket,
        decode: engine_states.EngineState,
        reads_since_ms: int | None = None,
    ) -> tickets.Placement:
        self._reserve(
            ticket.key,
            _Reservation(
                decode.endpoint.endpoint_id,
                ticket.memory_tokens,
                '',
                ticket.prompt_tokens,
                reads_since_ms,
            ),
        )
        return tickets.Placement(None, decode.endpoint)

    def _prefill_cost_ms(
        self, state: engine_states.EngineState, now_ms: int
    ) -> float:
        backlog_ms = state.backlog_ms(self._speed.tokens_per_ms, now_ms)
        return backlog_ms + state.failure_share * PREFILL_BACKLOG_LIMIT_MS

    def _end_prefill(
        self, reservation: _Reservation, now_ms: int
    ) -> float | None:
        prefill = self.engines.get(reservation.prefill_id)
        reservation.prefill_id = ''
        if prefill is None:
            return None
        return prefill.end_prefill(reservation.prompt_tokens, now_ms)

    def _reserve(self, key: tickets.Key, reservation: _Reservation) -> None:
        self._reservations[key] = reservation
        state = self.engines.get(reservation.decode_id)
        if state is not None:
            state.running += 1
            state.reserved_tokens += reservation.tokens

    def _recount(self, state: engine_states.EngineState) -> None:
        for reservation in self._reservations.values():
            if reservation.decode_id == state.endpoint.endpoint_id:
                state.running += 1
                state.reserved_tokens += reservation.tokens

    def _refuse(self, ticket: tickets.Ticket, now_ms: int) -> tickets.Refusal:
        """Spreads the returns over the time that the queue needs."""
        self._refused.note(ticket.prompt_key, now_ms)
        _prefills, decodes = self.roles(now_ms)
        spread_ms = ticket.key[1] * 97 % RETURN_SPREAD_MS
        if not decodes:
            return tickets.Refusal('no engine', RETURN_MAX_MS // 2 + spread_ms)
        per_engine = len(self._queue) / max(1, len(decodes))
        wait_ms = RETURN_MIN_MS + int(per_engine * RETURN_MIN_MS) + spread_ms
        return tickets.Refusal('engines full', min(RETURN_MAX_MS, wait_ms))


def _rank(ticket: tickets.Ticket, now_ms: int) -> tuple:
    """Requests that can be on time go first, then by priority and age."""
    late = now_ms >= ticket.urgent_until_ms
    return (late, ticket.priority, ticket.arrived_ms)


def _decode_cost(state: engine_states.EngineState, place: str) -> float:
    used = state.reserved_tokens / max(1, state.memory_tokens)
    cost = used * 100
    cost += state.failure_share * FAILURE_COST
    if state.endpoint.place != place:
        cost += OTHER_PLACE_COST_MS
    return cost
