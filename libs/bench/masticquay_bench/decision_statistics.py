"""Goodput, refusals and costs of a simulation."""

import collections

from masticquay_bench import decision_states
from masticquay_bundles import models


class RunStatistics:
    """Goodput, refusals and costs of one state.

    Requests of a failed host are not counted.

    :ivar refusals: refused requests by reason
    :ivar wasted_share: share of the prefill time that no decode followed
    :ivar cpu_us: processor time of the policy per request
    :ivar duplicates: how many requests were decoded to the end more than once
    """

    def __init__(
        self, state: decision_states.State, classes: list[models.ServiceClass]
    ):
        self._classes = {c.name: c for c in classes}
        self.offered_by_workspace: collections.Counter[str] = (
            collections.Counter()
        )
        self.met_targets_by_workspace: collections.Counter[str] = (
            collections.Counter()
        )
        self.refusals: collections.Counter[str] = collections.Counter()
        self.met_targets_by_class: collections.Counter[str] = (
            collections.Counter()
        )
        self.offered_by_class: collections.Counter[str] = collections.Counter()
        for outcome in state.outcomes:
            self._count(outcome)
        offered = max(1, sum(self.offered_by_workspace.values()))
        self.goodput = sum(self.met_targets_by_workspace.values()) / offered
        self.refusal_share = sum(self.refusals.values()) / offered
        self.wasted_share = state.wasted_prefill_ms / max(
            1.0, state.total_prefill_ms
        )
        self.cpu_us = state.policy_cpu_ns / 1_000 / offered
        self.duplicates = sum(o.decode_runs > 1 for o in state.outcomes)
        self.total_orphaned_ms = sum(state.orphan_durations_ms)
        self.longest_orphaned_ms = max(state.orphan_durations_ms, default=0)
        self.offered_total = offered

    def _count(self, outcome: decision_states.Outcome) -> None:
        request = outcome.request
        if outcome.refusal_reason == 'host-lost':
            return
        self.offered_by_workspace[request.workspace] += 1
        self.offered_by_class[request.class_name] += 1
        if outcome.refusal_reason:
            self.refusals[outcome.refusal_reason] += 1
        if self._met_targets(outcome):
            self.met_targets_by_workspace[request.workspace] += 1
            self.met_targets_by_class[request.class_name] += 1

    def _met_targets(self, outcome: decision_states.Outcome) -> bool:
        """Returns whether a request met both latency targets of its class."""
        if outcome.end_ms is None or outcome.first_token_at_ms is None:
            return False
        request = outcome.request
        service_class = self._classes[request.class_name]
        waited_ms = outcome.first_token_at_ms - request.arrival_ms
        if waited_ms > service_class.first_token_target_ms:
            return False
        gap_count = max(1, request.output_tokens - 1)
        between_ms = (outcome.end_ms - outcome.first_token_at_ms) / gap_count
        return between_ms <= service_class.between_tokens_target_ms

    def worst_workspace_goodput(self, excluded: str = '') -> float:
        """Returns the lowest goodput of any workspace but the excluded one."""
        return min(
            self.met_targets_by_workspace[name] / offered
            for name, offered in self.offered_by_workspace.items()
            if name != excluded
        )
