"""Small records of a run for the tests of checkers."""

from masticquay_bench import calls
from masticquay_bench import evidence
from masticquay_standins import journals

TEXT = 'aaaa bbbb '


def completion(call_id='c1', **changes):
    """Returns a completed call."""
    call = calls.Call(call_id, calls.KIND_COMPLETION, 'desk')
    call.expected_text = call.text = TEXT
    call.sent_ms, call.end_ms = 1_000.0, 2_000.0
    call.prompt_tokens, call.output_tokens = 10, 2
    call.end, call.status, call.finish_count = calls.END_OK, 200, 1
    for name, value in changes.items():
        setattr(call, name, value)
    return call


def effect(call_id='e1', **changes):
    """Returns a finished non-idempotent call."""
    call = calls.Call(call_id, calls.KIND_SERVICE, 'desk')
    call.idempotent = False
    call.idempotency_key = 'pay-1'
    call.sent_ms, call.end_ms = 1_000.0, 2_000.0
    call.end, call.status = calls.END_OK, 200
    for name, value in changes.items():
        setattr(call, name, value)
    return call


def event(kind, time_ms=1_500.0, **fields):
    """Returns a stand-in's event."""
    return {'event': kind, 'standin': 's', 'time_ms': time_ms, **fields}


def decode(call_id='c1', time_ms=1_500.0, standin='s'):
    """Returns the event of a decode."""
    made = event(journals.EVENT_DECODE, time_ms, prompt_id=call_id)
    made['standin'] = standin
    return made


def run(call_id='e1', time_ms=1_500.0):
    """Returns the event of a service's run."""
    return event(
        journals.EVENT_RUN, time_ms, body=f'x [[id={call_id}]]', path='/pay'
    )


def held(time_ms, call_id='c1'):
    """Returns the event of memory being taken."""
    return event(
        journals.EVENT_HELD,
        time_ms,
        request_id='r',
        prompt_id=call_id,
        stage='decode',
        pieces=3,
    )


def released(time_ms):
    """Returns the event of memory being freed."""
    return event(
        journals.EVENT_RELEASED,
        time_ms,
        request_id='r',
        stage='decode',
        pieces=3,
    )


def found(recorded=(), events=(), **others):
    """Returns the evidence of a run that ended after a minute."""
    marks = others.pop('marks', [])
    marks.append(evidence.Mark(evidence.MARK_END, '', 60_000.0, 60_000.0))
    return evidence.Evidence(list(recorded), list(events), marks, **others)
