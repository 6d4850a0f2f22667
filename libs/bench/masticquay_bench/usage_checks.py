"""Compares the operators' usage report with what callers recorded."""

import collections
import time

from masticquay_bench import calls
from masticquay_bench import errors
from masticquay_bench import fleets

SETTLE_TIMEOUT_S = 15
POLL_S = 0.5
REFUSAL_CODES = ('over-rate', 'queue-full', 'deadline', 'no-endpoint')

Account = tuple[str, str]


class Use:
    """What an account used: at least and at most, as its callers know it.

    Calls that did not end well may have used anything up to their limit.
    """

    __slots__ = ('least_requests', 'most_requests', 'least', 'most')

    def __init__(self) -> None:
        self.least_requests = 0
        self.most_requests = 0
        self.least = 0
        self.most = 0

    def add(self, call: calls.Call) -> None:
        """Adds a call."""
        self.most_requests += 1
        if call.end == calls.END_OK:
            self.least_requests += 1
            self.least += call.prompt_tokens + call.output_tokens
            self.most += call.prompt_tokens + call.output_tokens
        else:
            self.most += call.prompt_tokens + call.max_tokens


class Reported:
    """What the ledger says of an account."""

    __slots__ = ('requests', 'tokens')

    def __init__(self) -> None:
        self.requests = 0
        self.tokens = 0


def check(recorded: list[calls.Call], usage: dict) -> list[str]:
    """Compares a usage report with the calls.

    Exact for calls that ended well when no host crashed; a stated gap
    widens the lower limit by its bound.

    :param usage: the report of ``masticquay usage --format=json``
    """
    expected = collect_use(recorded)
    reported = _read_report(usage)
    has_gap = bool(usage.get('gaps'))
    missing = usage.get('missing_tokens_at_most', 0)
    unbounded = has_gap and missing < 0
    violations = []
    short = 0
    for account in sorted(expected.keys() | reported.keys()):
        use, said = expected[account], reported[account]
        name = '/'.join(account)
        if said.tokens > use.most:
            violations.append(
                f'{name}: {said.tokens} tokens reported, at most {use.most}'
            )
        if said.requests > use.most_requests:
            violations.append(
                f'{name}: {said.requests} requests reported, at most '
                f'{use.most_requests}'
            )
        if said.tokens < use.least or said.requests < use.least_requests:
            short += max(0, use.least - said.tokens)
            if not has_gap:
                violations.append(
                    f'{name}: {said.tokens} tokens and {said.requests} '
                    f'requests reported, at least {use.least} and '
                    f'{use.least_requests}, and no gap stated'
                )
    if short > missing and has_gap and not unbounded:
        violations.append(
            f'{short} tokens are missing, the stated gap is {missing}'
        )
    return violations


def check_refusals(recorded: list[calls.Call], refusals: dict) -> list[str]:
    """Compares a refusals report with the calls, exact without a gap."""
    if refusals.get('gaps'):
        return []
    seen = collections.Counter(
        (call.workspace, call.error_code)
        for call in recorded
        if call.end == calls.END_REFUSED and call.error_code in REFUSAL_CODES
    )
    said: dict[Account, int] = collections.Counter()
    for row in refusals.get('rows', []):
        for code in REFUSAL_CODES:
            said[row['workspace'], code] += row.get(code, 0)
    return [
        f'{account[0]}: {said[account]} refusals "{account[1]}" reported, '
        f'callers saw {seen[account]}'
        for account in sorted(seen.keys() | said.keys())
        if said[account] != seen[account]
    ]


def collect_use(recorded: list[calls.Call]) -> dict[Account, Use]:
    """Sums completions by workspace and class."""
    expected: dict[Account, Use] = collections.defaultdict(Use)
    for call in recorded:
        if call.kind == calls.KIND_COMPLETION and call.may_run:
            expected[call.workspace, call.class_name].add(call)
    return expected


def check_fleet(fleet: fleets.Fleet, recorded: list[calls.Call]) -> list[str]:
    """Waits until the ledger agrees with the calls, or for a while.

    :returns: how they differ in the end
    """
    end_s = time.monotonic() + SETTLE_TIMEOUT_S
    while True:
        try:
            found = check(recorded, fleet.operate('usage'))
            found += check_refusals(recorded, fleet.operate('refusals'))
        except errors.FleetError as cause:
            found = [str(cause)]
        if not found or time.monotonic() > end_s:
            return found
        time.sleep(POLL_S)


def _read_report(usage: dict) -> dict[Account, Reported]:
    """Sums the rows of models; services use no tokens."""
    reported: dict[Account, Reported] = collections.defaultdict(Reported)
    for row in usage.get('rows', []):
        tokens = row['prompt_tokens'] + row['output_tokens']
        if not tokens:
            continue
        said = reported[row['workspace'], row['class']]
        said.requests += row['requests']
        said.tokens += tokens
    return reported
