"""Measures of a run, from what callers and stand-ins recorded."""

import collections
import typing

from hdrh import histogram

from masticquay_bench import calls
from masticquay_bench import evidence
from masticquay_standins import journals

HIGHEST_US = 600_000_000
DIGITS = 3
PERCENTILES = (50, 90, 95, 99)
QUEUED_S = 0.5
RATE_CODES = ('over-rate', 'queue-full', 'deadline', 'no-endpoint')


class Targets:
    """Latency targets of a class."""

    __slots__ = ('first_token_ms', 'between_tokens_ms')

    def __init__(self, first_token_ms: float, between_tokens_ms: float):
        self.first_token_ms = first_token_ms
        self.between_tokens_ms = between_tokens_ms


def meets_targets(call: calls.Call, targets: Targets) -> bool:
    """Whether a call ended well within both latency targets."""
    if call.end != calls.END_OK:
        return False
    begun_ms = call.due_ms or call.sent_ms
    if call.first_token_ms - begun_ms > targets.first_token_ms:
        return False
    return call.gap_p95_ms <= targets.between_tokens_ms


def summarize(
    found: evidence.Evidence, targets: dict[str, Targets]
) -> dict[str, float]:
    """Returns the measures of a run by name.

    :param targets: by class; classes without targets only have to end well
    """
    recorded = [call for call in found.calls if call.may_run]
    total = max(1, len(recorded))
    good = [call for call in recorded if _is_good(call, targets)]
    ended = [call for call in recorded if call.end == calls.END_OK]
    refused = [call for call in recorded if call.end == calls.END_REFUSED]
    broken = [
        call
        for call in recorded
        if call.end in (calls.END_BROKEN, calls.END_ERROR)
    ]
    by_workspace = goodput_by_workspace(recorded, targets)
    wrongful = find_wrongful_refusals(found)
    return {
        'calls': len(recorded),
        'answered_share': len(ended) / total,
        'goodput_share': len(good) / total,
        'refused_share': len(refused) / total,
        'broken_share': len(broken) / total,
        'not_connected': sum(
            call.end == calls.END_NOT_CONNECTED for call in recorded
        ),
        'wrongful_refusal_share': len(wrongful) / total,
        'worst_workspace_goodput': min(by_workspace.values(), default=0.0),
        'wasted_prefill_share': wasted_prefill_share(found),
        'output_tokens': sum(call.output_tokens for call in recorded),
    }


def goodput_by_workspace(
    recorded: list[calls.Call], targets: dict[str, Targets]
) -> dict[str, float]:
    """Returns the share of each workspace's calls that met the targets."""
    totals: dict[str, int] = collections.Counter()
    good: dict[str, int] = collections.Counter()
    for call in recorded:
        totals[call.workspace] += 1
        good[call.workspace] += _is_good(call, targets)
    return {name: good[name] / totals[name] for name in totals}


def wasted_prefill_share(found: evidence.Evidence) -> float:
    """Returns the share of prefilled tokens that no decode imported."""
    exported = {
        (event['standin'], event['request_id'])
        for event in found.of_kind(journals.EVENT_RELEASED)
        if event['stage'] == 'prefill' and event['reason'] == 'exported'
    }
    total = wasted = 0
    for event in found.of_kind(journals.EVENT_PREFILL):
        total += event['tokens']
        if (event['standin'], event['request_id']) not in exported:
            wasted += event['tokens']
    return wasted / total if total else 0.0


def find_wrongful_refusals(found: evidence.Evidence) -> list[calls.Call]:
    """Returns refused calls that their workspace's rate allowed.

    A bucket is replayed over the calls in the order in which they were due
    and charged with the most that each could use, refused or not: what a
    workspace sends beyond its rate may be refused, whichever call that hits.
    Earlier calls may wait for ``QUEUED_S`` worth of tokens, ahead of others.
    """
    rates = {rate.workspace: rate for rate in found.rates}
    levels = {name: float(r.burst_tokens) for name, r in rates.items()}
    last_ms: dict[str, float] = {}
    wrongful = []
    for call in sorted(found.calls, key=lambda c: c.due_ms):
        rate = rates.get(call.workspace)
        if rate is None or call.kind != calls.KIND_COMPLETION:
            continue
        passed_ms = call.due_ms - last_ms.get(call.workspace, call.due_ms)
        last_ms[call.workspace] = call.due_ms
        level = levels[call.workspace]
        level += rate.rate_tokens_per_s * passed_ms / 1000
        level = min(level, rate.burst_tokens)
        cost = call.prompt_tokens + call.max_tokens
        allowed = level >= cost
        refused = call.end == calls.END_REFUSED
        if refused and call.error_code in RATE_CODES and allowed:
            wrongful.append(call)
        if cost <= rate.burst_tokens:
            lowest = -QUEUED_S * rate.rate_tokens_per_s
            level = max(lowest, level - cost)
        levels[call.workspace] = level
    return wrongful


def rate_use(
    found: evidence.Evidence, workspace: str, begin_ms: float, end_ms: float
) -> float:
    """Returns what a workspace was let have of its rate in a window.

    Its burst is left out, so the window should begin when that is spent.
    """
    rate = next(r for r in found.rates if r.workspace == workspace)
    used = sum(
        call.prompt_tokens + call.max_tokens
        for call in found.calls
        if call.workspace == workspace
        and begin_ms <= call.first_token_ms < end_ms
    )
    allowed = rate.rate_tokens_per_s * (end_ms - begin_ms) / 1000
    return used / allowed


def make_histograms(
    recorded: list[calls.Call],
) -> dict[str, dict[str, typing.Any]]:
    """Returns percentiles by measure and class, in milliseconds."""
    made: dict[str, histogram.HdrHistogram] = {}
    for call in recorded:
        if call.end != calls.END_OK:
            continue
        begun_ms = call.due_ms or call.sent_ms
        values = {'whole': call.end_ms - begun_ms}
        if call.kind == calls.KIND_COMPLETION and call.first_token_ms:
            values['first-token'] = call.first_token_ms - begun_ms
            values['between-tokens-p95'] = call.gap_p95_ms
        for name, value_ms in values.items():
            label = f'{name}/{call.kind}/{call.class_name}'
            if label not in made:
                made[label] = histogram.HdrHistogram(1, HIGHEST_US, DIGITS)
            made[label].record_value(max(1, int(value_ms * 1000)))
    return {label: _describe(found) for label, found in sorted(made.items())}


def _describe(found: histogram.HdrHistogram) -> dict[str, typing.Any]:
    described: dict[str, typing.Any] = {
        f'p{p}_ms': found.get_value_at_percentile(p) / 1000
        for p in PERCENTILES
    }
    described['most_ms'] = found.get_max_value() / 1000
    described['count'] = found.get_total_count()
    described['encoded'] = found.encode().decode('ascii')
    return described


def _is_good(call: calls.Call, targets: dict[str, Targets]) -> bool:
    target = targets.get(call.class_name)
    if target is None:
        return call.end == calls.END_OK
    return meets_targets(call, target)
