"""The choice of endpoints for a request."""

from collections import abc
import typing

from masticquay_scheduling import estimates
from masticquay_scheduling import links
from masticquay_scheduling import messages
from masticquay_scheduling import prefixes
from masticquay_scheduling import reservations
from masticquay_scheduling import settings as scheduling_settings

States = abc.Collection[reservations.EndpointState]


class PrefillChoice:
    """A prefill endpoint, and when the prefill would end there."""

    __slots__ = ('state', 'cached_tokens', 'work_ms', 'end_ms')

    def __init__(
        self,
        state: reservations.EndpointState,
        cached_tokens: int,
        work_ms: float,
        end_ms: float,
    ):
        self.state = state
        self.cached_tokens = cached_tokens
        self.work_ms = work_ms
        self.end_ms = end_ms


class Chooser(typing.Protocol):
    """Picks endpoints among those with room."""

    long_prefill_ms: float

    def choose_prefill(
        self, states: States, admit: messages.Admit, prompt: bool, now_ms: int
    ) -> PrefillChoice | None:
        """Returns where to prefill, None when nothing has room."""

    def choose_decode(
        self,
        states: States,
        source: reservations.EndpointState | None,
        tokens: int,
        size_bytes: int,
        ready_ms: float,
        excluded: list[str],
        now_ms: int,
    ) -> reservations.EndpointState | None:
        """Returns where to decode, None when nothing has room.

        :param source: where the prefill is; None when that is not known
        """

    def choose_service(
        self, states: States, excluded: list[str], now_ms: int
    ) -> reservations.EndpointState | None:
        """Returns which endpoint to call, None when nothing has room."""


class EarliestChooser:
    """Picks the endpoint where each stage would end first.

    A long prefill may not take the last endpoint on which a request of a
    prompt class could begin in time.

    :param affinity: whether cached prefixes count
    :ivar long_prefill_ms: how long a prefill may block every endpoint
    """

    def __init__(
        self,
        settings: scheduling_settings.SchedulingSettings,
        engine_estimates: estimates.Estimates,
        affinity: bool = True,
    ):
        self._backlog_ms = settings.prefill_backlog_ms
        self._estimates = engine_estimates
        self._affinity = affinity
        self.long_prefill_ms = float('inf')

    def choose_prefill(
        self, states: States, admit: messages.Admit, prompt: bool, now_ms: int
    ) -> PrefillChoice | None:
        """Returns where the prefill would end first."""
        best = None
        limit_ms = float('inf') if prompt else self.long_prefill_ms
        for state in states:
            if not self._may_prefill(state, admit, now_ms):
                continue
            cached = 0
            if self._affinity and admit.prefix_hashes:
                blocks = state.index.count_cached(admit.prefix_hashes)
                cached = blocks * prefixes.BLOCK_TOKENS
            work_ms = self._estimates.prefill_ms(admit.prompt_tokens - cached)
            end_ms = max(now_ms, state.busy_until_ms) + work_ms
            if end_ms - now_ms > limit_ms and not self._other_short(
                states, state, now_ms
            ):
                continue
            if best is None or end_ms < best.end_ms:
                best = PrefillChoice(state, cached, work_ms, end_ms)
        return best

    def _other_short(
        self,
        states: States,
        chosen: reservations.EndpointState,
        now_ms: int,
    ) -> bool:
        """Whether a prompt class could still prefill soon elsewhere.

        With no other endpoint in use there is nothing to keep free.
        """
        others = [
            state
            for state in states
            if state.prefills
            and state is not chosen
            and state.takes_work()
            and state.health.allowance(1, now_ms)
        ]
        if not others:
            return True
        limit_ms = now_ms + self.long_prefill_ms
        return any(state.busy_until_ms <= limit_ms for state in others)

    def choose_decode(
        self,
        states: States,
        source: reservations.EndpointState | None,
        tokens: int,
        size_bytes: int,
        ready_ms: float,
        excluded: list[str],
        now_ms: int,
    ) -> reservations.EndpointState | None:
        """Returns where the transfer would end first, then least loaded."""
        best = None
        best_score = None
        for state in states:
            if not state.decodes or state.name in excluded:
                continue
            free = state.free_slots(now_ms)
            if free <= 0 or state.free_pieces() < state.pieces_for(tokens):
                continue
            end_ms = ready_ms
            if source is not None and state is not source:
                end_ms = links.transfer_end_ms(
                    source.link, state.link, size_bytes, ready_ms
                )
            score = (end_ms, -free)
            if best_score is None or score < best_score:
                best, best_score = state, score
        return best

    def choose_service(
        self, states: States, excluded: list[str], now_ms: int
    ) -> reservations.EndpointState | None:
        """Returns the endpoint with the lowest smoothed load."""
        best = None
        best_score = 0.0
        for state in states:
            if state.name in excluded or state.free_slots(now_ms) <= 0:
                continue
            own = state.decode_count / state.endpoint.slots
            score = own + state.smoothed_load
            if best is None or score < best_score:
                best, best_score = state, score
        return best

    def _may_prefill(
        self,
        state: reservations.EndpointState,
        admit: messages.Admit,
        now_ms: int,
    ) -> bool:
        if not state.prefills or state.name in admit.excluded:
            return False
        if state.busy_until_ms - now_ms > self._backlog_ms:
            return False
        if state.free_prefills(now_ms) <= 0:
            return False
        needed = state.pieces_for(admit.prompt_tokens)
        return state.free_pieces() >= needed
