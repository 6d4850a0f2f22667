"""One checker for each promise; see PROMISES in the docs.

A checker reads only what callers and stand-ins recorded, never the router's
own counters, and returns a list of violations.
"""

import collections
import typing

from masticquay_bench import calls
from masticquay_bench import evidence
from masticquay_bench import rates
from masticquay_standins import journals

HELD_LIMIT_MS = 8_000
WITHDRAWAL_LIMIT_MS = 4_000
ROLL_LIMIT_MS = 4_000
LEAVING_LIMIT_MS = 3_000
PLATFORM_LAG_MS = 500
MAX_SHOWN = 5


class Checker(typing.Protocol):
    """Checks one promise."""

    name: str

    def count(self, found: evidence.Evidence) -> int:
        """Returns how many things there are to check."""

    def check(self, found: evidence.Evidence) -> list[str]:
        """Returns a sentence for each violation."""


class Verdict:
    """What a checker found.

    :param checked: how many things the checker could look at
    """

    __slots__ = ('name', 'violations', 'checked')

    def __init__(self, name: str, violations: list[str], checked: int):
        self.name = name
        self.violations = violations
        self.checked = checked

    @property
    def held(self) -> bool:
        """Whether there was no violation."""
        return not self.violations


class NoOrphanedMemory:
    """No engine memory stays held by a request whose caller is gone."""

    name = 'no-orphaned-memory'

    def count(self, found: evidence.Evidence) -> int:
        """Returns how many holds there were."""
        return len(found.of_kind(journals.EVENT_HELD))

    def check(self, found: evidence.Evidence) -> list[str]:
        """Compares each hold's end with the end of its call."""
        violations = []
        for hold, until_ms in _holds(found):
            call = found.by_id.get(hold.get('prompt_id', ''))
            if call is None or not call.end_ms:
                continue
            since_ms = max(call.end_ms, hold['time_ms'])
            if until_ms - since_ms > HELD_LIMIT_MS:
                violations.append(
                    f'{hold["standin"]} held {hold["pieces"]} pieces of '
                    f'{call.call_id} {until_ms - since_ms:.0f} ms after its '
                    'caller was gone'
                )
        return violations


def _holds(
    found: evidence.Evidence,
) -> list[tuple[dict, float]]:
    """Returns each hold with the time of its release or the run's end."""
    open_holds: dict[tuple, list[dict]] = collections.defaultdict(list)
    done = []
    kinds = (
        journals.EVENT_HELD,
        journals.EVENT_RELEASED,
        journals.EVENT_START,
    )
    for event in found.of_kind(*kinds):
        if event['event'] == journals.EVENT_START:
            for identity in [
                i for i in open_holds if i[0] == event['standin']
            ]:
                for hold in open_holds.pop(identity):
                    done.append((hold, event['time_ms']))
            continue
        identity = (event['standin'], event['request_id'], event['stage'])
        if event['event'] == journals.EVENT_HELD:
            open_holds[identity].append(event)
        elif open_holds[identity]:
            done.append((open_holds[identity].pop(0), event['time_ms']))
    killed = {
        mark.subject: mark.begin_ms for mark in found.marked('engine-killed')
    }
    for holds in open_holds.values():
        for hold in holds:
            until_ms = killed.get(hold['standin'], found.end_ms())
            done.append((hold, max(until_ms, hold['time_ms'])))
    return done


class AnsweredOnce:
    """No request is answered twice."""

    name = 'answered-once'

    def count(self, found: evidence.Evidence) -> int:
        """Returns how many completions there were."""
        return sum(c.kind == calls.KIND_COMPLETION for c in found.calls)

    def check(self, found: evidence.Evidence) -> list[str]:
        """Looks for a second finish reason and for repeated tokens."""
        violations = []
        for call in found.calls:
            if call.kind != calls.KIND_COMPLETION:
                continue
            if call.finish_count > 1:
                violations.append(
                    f'{call.call_id} finished {call.finish_count} times'
                )
            if len(call.text) > len(call.expected_text):
                violations.append(
                    f'{call.call_id} got {len(call.text)} bytes for '
                    f'{len(call.expected_text)}'
                )
        return violations


class OwnWorkspaceOnly:
    """A keyed request runs only for the workspace of its key."""

    name = 'own-workspace-only'

    def count(self, found: evidence.Evidence) -> int:
        """Returns how many calls were not allowed."""
        return sum(not call.may_run for call in found.calls)

    def check(self, found: evidence.Evidence) -> list[str]:
        """Looks for runs of calls whose key does not allow them."""
        runs = found.runs_by_call()
        violations = []
        for call in found.calls:
            if call.may_run:
                continue
            if runs.get(call.call_id):
                violations.append(f'{call.call_id} ran without a right to')
            if call.end == calls.END_OK:
                violations.append(f'{call.call_id} was answered')
        return violations


class NoKeyAtEndpoint:
    """No endpoint ever sees a key."""

    name = 'no-key-at-endpoint'

    def count(self, found: evidence.Evidence) -> int:
        """Returns how many requests endpoints recorded."""
        return len(found.of_kind(journals.EVENT_REQUEST))

    def check(self, found: evidence.Evidence) -> list[str]:
        """Looks for each key in every recorded field."""
        violations = []
        for event in found.events:
            text = repr(event)
            for number, key in enumerate(found.key_texts):
                if key in text:
                    violations.append(
                        f'{event["standin"]} saw key {number} in '
                        f'{event["event"]} {event.get("target", "")}'
                    )
        return violations


class WithdrawnKeyStops:
    """A withdrawn key stops working within seconds."""

    name = 'withdrawn-key-stops'

    def count(self, found: evidence.Evidence) -> int:
        """Returns how many keys were withdrawn."""
        return len(found.marked(evidence.MARK_WITHDRAWN))

    def check(self, found: evidence.Evidence) -> list[str]:
        """Looks for calls that a withdrawn key still got answered."""
        violations = []
        for mark in found.marked(evidence.MARK_WITHDRAWN):
            took_ms = mark.end_ms - mark.begin_ms
            if took_ms > WITHDRAWAL_LIMIT_MS:
                violations.append(f'{mark.subject}: in force {took_ms:.0f} ms')
            for call in found.calls:
                if f'{call.workspace}/{call.key_number}' != mark.subject:
                    continue
                violations.extend(self._check_call(call, mark))
        return violations

    def _check_call(self, call: calls.Call, mark: evidence.Mark) -> list[str]:
        if call.sent_ms > mark.end_ms and call.end == calls.END_OK:
            return [f'{call.call_id} was answered after the withdrawal']
        streaming = call.kind == calls.KIND_COMPLETION
        late = call.end_ms - mark.begin_ms > WITHDRAWAL_LIMIT_MS
        if streaming and late and call.end == calls.END_OK:
            return [f'{call.call_id} streamed on after the withdrawal']
        return []


class WithinRate:
    """No workspace receives more than its rate and burst, over all hosts."""

    name = 'within-rate'

    def count(self, found: evidence.Evidence) -> int:
        """Returns how many workspaces have a rate."""
        return len(found.rates)

    def check(self, found: evidence.Evidence) -> list[str]:
        """Bounds the tokens of calls that lie within any window."""
        violations = []
        for rate in found.rates:
            excess = rates.find_excess(found.calls, rate)
            if excess is not None:
                violations.append(
                    f'{rate.workspace}: {excess.tokens} tokens in '
                    f'{excess.window_ms:.0f} ms, '
                    f'{excess.allowed_tokens:.0f} allowed'
                )
        return violations


class WholeOwnAnswer:
    """A caller receives the whole answer to its own request."""

    name = 'whole-own-answer'

    def count(self, found: evidence.Evidence) -> int:
        """Returns how many calls ended well."""
        return sum(call.end == calls.END_OK for call in found.calls)

    def check(self, found: evidence.Evidence) -> list[str]:
        """Compares each answer with what the stand-in must have said."""
        violations = []
        for call in found.calls:
            if call.kind != calls.KIND_COMPLETION or not call.sent_ms:
                continue
            if call.end == calls.END_OK and call.text != call.expected_text:
                violations.append(
                    f'{call.call_id} got {len(call.text)} bytes, not its '
                    f'answer of {len(call.expected_text)}'
                )
            elif not call.expected_text.startswith(call.text):
                violations.append(f'{call.call_id} got foreign text')
        return violations


class TruthfulNotRun:
    """A refusal that says "not run" is true."""

    name = 'truthful-not-run'

    def count(self, found: evidence.Evidence) -> int:
        """Returns how many calls were told so."""
        return sum(call.outcome == 'not-run' for call in found.calls)

    def check(self, found: evidence.Evidence) -> list[str]:
        """Looks for runs of calls that were told they had not run."""
        runs = found.runs_by_call()
        return [
            f'{call.call_id} was told not-run, but '
            f'{runs[call.call_id][0]["standin"]} ran it'
            for call in found.calls
            if call.outcome == 'not-run' and runs.get(call.call_id)
        ]


class AtMostOnce:
    """A non-idempotent request runs at most once."""

    name = 'at-most-once'

    def count(self, found: evidence.Evidence) -> int:
        """Returns how many non-idempotent calls there were."""
        return sum(not call.idempotent for call in found.calls)

    def check(self, found: evidence.Evidence) -> list[str]:
        """Counts runs for each workspace and idempotency key."""
        runs: dict[tuple[str, str], int] = collections.Counter()
        for event in found.of_kind(journals.EVENT_RUN):
            call = found.by_id.get(evidence.event_call_id(event))
            if call is not None and not call.idempotent:
                identity = call.idempotency_key or call.call_id
                runs[call.workspace, identity] += 1
        return [
            f'{workspace}: {key} ran {count} times'
            for (workspace, key), count in runs.items()
            if count > 1
        ]


class LeavingEndpointQuiet:
    """A leaving endpoint receives no new work after a few seconds."""

    name = 'leaving-endpoint-quiet'

    def count(self, found: evidence.Evidence) -> int:
        """Returns how many endpoints left."""
        return len(found.marked(evidence.MARK_LEAVING))

    def check(self, found: evidence.Evidence) -> list[str]:
        """Looks for work that began after the limit."""
        violations = []
        limit_ms = LEAVING_LIMIT_MS + PLATFORM_LAG_MS
        for mark in found.marked(evidence.MARK_LEAVING):
            for event in found.of_kind(
                journals.EVENT_PREFILL,
                journals.EVENT_DECODE,
                journals.EVENT_RUN,
            ):
                if event['standin'] != mark.subject:
                    continue
                if event.get('path', '').startswith('/standin/'):
                    continue
                after_ms = event['time_ms'] - mark.begin_ms
                back = mark.end_ms and event['time_ms'] > mark.end_ms
                if after_ms > limit_ms and not back:
                    violations.append(
                        f'{mark.subject} got {event["event"]} '
                        f'{after_ms:.0f} ms after it was listed as leaving'
                    )
        return violations


class GracefulStopCutsNothing:
    """A graceful shutdown cuts no request."""

    name = 'graceful-stop-cuts-nothing'

    def count(self, found: evidence.Evidence) -> int:
        """Returns how many hosts were stopped gracefully."""
        return len(found.marked(evidence.MARK_DRAIN))

    def check(self, found: evidence.Evidence) -> list[str]:
        """Looks for calls that broke off at a host that was stopping."""
        violations = []
        for mark in found.marked(evidence.MARK_DRAIN):
            for call in found.calls:
                if call.host != mark.subject or not call.sent_ms:
                    continue
                during = call.end_ms > mark.begin_ms
                before_exit = call.sent_ms < mark.end_ms
                cut = call.end in (calls.END_BROKEN, calls.END_ERROR)
                if during and before_exit and cut:
                    violations.append(
                        f'{call.call_id} was cut at {mark.subject}: '
                        f'{call.detail}'
                    )
        return violations


class BundleStaysInForce:
    """An accepted bundle is in force within seconds and never reverts."""

    name = 'bundle-stays-in-force'

    def count(self, found: evidence.Evidence) -> int:
        """Returns how many probes there were."""
        return len(found.probes)

    def check(self, found: evidence.Evidence) -> list[str]:
        """Looks for hosts that lack a bundle, or lost one again."""
        violations = []
        in_force: dict[int, float] = {}
        for mark in found.marked(evidence.MARK_ROLLED):
            in_force[int(mark.subject)] = mark.end_ms
            took_ms = mark.end_ms - mark.begin_ms
            if took_ms > ROLL_LIMIT_MS:
                violations.append(
                    f'version {mark.subject} took {took_ms:.0f} ms'
                )
        served: dict[tuple[str, int], float] = {}
        for probe in sorted(found.probes, key=lambda p: p.sent_ms):
            identity = (probe.host, probe.version)
            if probe.served:
                served.setdefault(identity, probe.end_ms)
                continue
            due_ms = min(
                served.get(identity, float('inf')),
                in_force.get(probe.version, float('inf')),
            )
            if probe.sent_ms > due_ms:
                violations.append(
                    f'{probe.host} lacked version {probe.version} '
                    f'{probe.sent_ms - due_ms:.0f} ms after it was in force'
                )
        return violations


ALL: list[Checker] = [
    NoOrphanedMemory(),
    AnsweredOnce(),
    OwnWorkspaceOnly(),
    NoKeyAtEndpoint(),
    WithdrawnKeyStops(),
    WithinRate(),
    WholeOwnAnswer(),
    TruthfulNotRun(),
    AtMostOnce(),
    LeavingEndpointQuiet(),
    GracefulStopCutsNothing(),
    BundleStaysInForce(),
]


def judge(found: evidence.Evidence) -> list[Verdict]:
    """Runs every checker."""
    return [
        Verdict(checker.name, checker.check(found), checker.count(found))
        for checker in ALL
    ]


def format_verdicts(verdicts: list[Verdict]) -> str:
    """Writes the verdicts as lines of text."""
    lines = []
    for verdict in verdicts:
        word = 'held' if verdict.held else 'BROKEN'
        if verdict.held and not verdict.checked:
            word = 'not exercised'
        lines.append(f'{verdict.name:28} {word:14} {verdict.checked}')
        lines += [f'    {text}' for text in verdict.violations[:MAX_SHOWN]]
        if len(verdict.violations) > MAX_SHOWN:
            more = len(verdict.violations) - MAX_SHOWN
            lines.append(f'    and {more} more')
    return '\n'.join(lines)
