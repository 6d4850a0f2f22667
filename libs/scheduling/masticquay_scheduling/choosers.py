"""Policies that choose the endpoints for a request."""

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
    """A prefill endpoint, and the estimated end of the prefill there."""

    __slots__ = ('state', 'cached_tokens', 'prefill_ms', 'end_ms')

    def __init__(
        self,
        state: reservations.EndpointState,
        cached_tokens: int,
        prefill_ms: float,
        end_ms: float,
    ):
        self.state = state
        self.cached_tokens = cached_tokens
        self.prefill_ms = prefill_ms
        self.end_ms = end_ms


class Chooser(typing.Protocol):
    """Chooses among the endpoints that have capacity.

    :ivar max_blocking_ms: longest time for which requests of classes that
        are not urgent may keep all prefill endpoints busy
    """

    max_blocking_ms: float

    def choose_prefill(
        self,
        states: States,
        admit: messages.Admit,
        is_urgent: bool,
        now_ms: int,
    ) -> PrefillChoice | None:
        """Returns where to prefill, None when no endpoint has capacity."""

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
        """Returns where to decode, None when no endpoint has capacity.

        :param source: the prefill endpoint, None when unknown
        :param tokens: prompt and output tokens to reserve memory for
        :param size_bytes: size of the KV cache to transfer
        :param ready_ms: when the prefill ends
        """

    def choose_service(
        self, states: States, excluded: list[str], now_ms: int
    ) -> reservations.EndpointState | None:
        """Returns the endpoint to call, None when none has capacity."""


class EarliestChooser:
    """Chooses the endpoint where each stage would end first.

    A long prefill may not occupy the last endpoint on which a request of an
    urgent class could begin in time.

    :param affinity: whether to prefer endpoints with cached prefixes
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
        self.max_blocking_ms = float('inf')

    def choose_prefill(
        self,
        states: States,
        admit: messages.Admit,
        is_urgent: bool,
        now_ms: int,
    ) -> PrefillChoice | None:
        """Returns the endpoint where the prefill would end first."""
        best = None
        limit_ms = float('inf') if is_urgent else self.max_blocking_ms
        for state in states:
            if not self._may_prefill(state, admit, now_ms):
                continue
            cached = 0
            if self._affinity and admit.prefix_hashes:
                blocks = state.prefix_index.count_cached(admit.prefix_hashes)
                cached = blocks * prefixes.BLOCK_TOKENS
            prefill_ms = self._estimates.prefill_ms(
                admit.prompt_tokens - cached
            )
            end_ms = max(now_ms, state.busy_until_ms) + prefill_ms
            if (
                end_ms - now_ms > limit_ms
                and not self._other_endpoint_available(states, state, now_ms)
            ):
                continue
            if best is None or end_ms < best.end_ms:
                best = PrefillChoice(state, cached, prefill_ms, end_ms)
        return best

    def _other_endpoint_available(
        self,
        states: States,
        chosen: reservations.EndpointState,
        now_ms: int,
    ) -> bool:
        """Returns whether an urgent request could soon start elsewhere.

        Returns True when there is no other usable endpoint: holding the
        prefill back would then keep no endpoint free.
        """
        others = [
            state
            for state in states
            if state.can_prefill
            and state is not chosen
            and state.accepts_work()
            and state.health.usable_slots(1, now_ms)
        ]
        if not others:
            return True
        limit_ms = now_ms + self.max_blocking_ms
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
        """Returns the endpoint where the transfer would end first.

        Among equals it is the one with the most free slots.
        """
        best = None
        best_score = None
        for state in states:
            if not state.can_decode or state.name in excluded:
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
        """Returns the endpoint with the lowest reserved plus reported load."""
        best = None
        best_score = 0.0
        for state in states:
            if state.name in excluded or state.free_slots(now_ms) <= 0:
                continue
            reserved_share = state.decode_count / state.endpoint.slots
            score = reserved_share + state.smoothed_load
            if best is None or score < best_score:
                best, best_score = state, score
        return best

    def _may_prefill(
        self,
        state: reservations.EndpointState,
        admit: messages.Admit,
        now_ms: int,
    ) -> bool:
        if not state.can_prefill or state.name in admit.excluded:
            return False
        if state.busy_until_ms - now_ms > self._backlog_ms:
            return False
        if state.free_prefill_slots(now_ms) <= 0:
            return False
        needed = state.pieces_for(admit.prompt_tokens)
        return state.free_pieces() >= needed
