"""Checkers of the promises about single requests."""

import collections

from masticquay_bench import calls
from masticquay_bench import evidence
from masticquay_bench import rates
from masticquay_standins import journals

HELD_LIMIT_MS = 8_000


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


def _holds(found: evidence.Evidence) -> list[tuple[dict, float]]:
    """Returns each hold with the time when its memory was free again.

    That is its release, the kill of its engine, or the end of the run.
    """
    open_holds: dict[tuple, list[dict]] = collections.defaultdict(list)
    done = []
    for event in found.of_kind(journals.EVENT_HELD, journals.EVENT_RELEASED):
        identity = (event['standin'], event['request_id'], event['stage'])
        if event['event'] == journals.EVENT_HELD:
            open_holds[identity].append(event)
        elif open_holds[identity]:
            done.append((open_holds[identity].pop(0), event['time_ms']))
    for holds in open_holds.values():
        done += [(hold, _engine_end_ms(found, hold)) for hold in holds]
    return done


def _engine_end_ms(found: evidence.Evidence, hold: dict) -> float:
    """Returns when the engine of an unreleased hold was killed or started.

    The run's end when neither happened after the hold began.
    """
    standin, begin_ms = hold['standin'], hold['time_ms']
    ends = [
        mark.begin_ms
        for mark in found.marked(evidence.MARK_ENGINE_KILLED)
        if mark.subject == standin
    ]
    ends += [
        event['time_ms']
        for event in found.of_kind(journals.EVENT_START)
        if event['standin'] == standin
    ]
    later = [end_ms for end_ms in ends if end_ms >= begin_ms]
    return min(later, default=max(found.end_ms(), begin_ms))


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
        by_key = {call.idempotency_key: call for call in found.calls}
        runs: dict[tuple[str, str], int] = collections.Counter()
        for event in found.of_kind(journals.EVENT_RUN):
            key = event.get('idempotency_key', '')
            call = found.by_id.get(evidence.event_call_id(event))
            if call is None:
                call = by_key.get(key)
            if call is not None and not call.idempotent:
                identity = call.idempotency_key or call.call_id
                runs[call.workspace, identity] += 1
        return [
            f'{workspace}: {key} ran {count} times'
            for (workspace, key), count in runs.items()
            if count > 1
        ]
