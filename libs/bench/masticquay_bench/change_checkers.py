"""Checkers of the promises about changes: keys, bundles, hosts, endpoints."""

from masticquay_bench import calls
from masticquay_bench import evidence
from masticquay_standins import journals

WITHDRAWAL_LIMIT_MS = 4_000
ROLL_LIMIT_MS = 4_000
LEAVING_LIMIT_MS = 3_000
PLATFORM_LAG_MS = 500


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
