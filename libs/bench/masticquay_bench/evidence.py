"""What a run left to be judged: calls, journals, and marked moments."""

import collections
import pathlib

from masticquay_bench import calls
from masticquay_standins import journals
from masticquay_wire import records

MARK_WITHDRAWN = 'withdrawn'
MARK_ROLLED = 'rolled'
MARK_DRAIN = 'drain'
MARK_DRAINED = 'drained'
MARK_LEAVING = 'leaving'
MARK_ENGINE_KILLED = 'engine-killed'
MARK_END = 'end'


class Mark(records.Record):
    """Something that the run did, with the time when it began and ended.

    :param subject: a key number with its workspace, a host address, an
        endpoint or a version
    """

    __slots__ = ('kind', 'subject', 'begin_ms', 'end_ms')

    def __init__(
        self, kind: str, subject: str, begin_ms: float, end_ms: float
    ):
        self.kind = kind
        self.subject = subject
        self.begin_ms = begin_ms
        self.end_ms = end_ms


class Rate(records.Record):
    """The rate and burst that a workspace had during the run."""

    __slots__ = ('workspace', 'rate_tokens_per_s', 'burst_tokens')

    def __init__(
        self, workspace: str, rate_tokens_per_s: int, burst_tokens: int
    ):
        self.workspace = workspace
        self.rate_tokens_per_s = rate_tokens_per_s
        self.burst_tokens = burst_tokens


class Probe(records.Record):
    """Whether a host served a version's open path at some time.

    A host that gave no answer, or refused all work, says nothing.

    :param served: False when the host answered that it has no such path
    :param sent_ms: when the probe was sent
    :param end_ms: when its answer was there
    """

    __slots__ = ('host', 'version', 'served', 'sent_ms', 'end_ms')

    def __init__(
        self,
        host: str,
        version: int,
        served: bool,
        sent_ms: float,
        end_ms: float,
    ):
        self.host = host
        self.version = version
        self.served = served
        self.sent_ms = sent_ms
        self.end_ms = end_ms


class Evidence:
    """Everything that the checkers read; nothing of it is the router's.

    :param key_texts: the texts of all keys, to look for in the journals
    """

    __slots__ = (
        'calls',
        'events',
        'marks',
        'rates',
        'probes',
        'key_texts',
        'by_id',
    )

    def __init__(
        self,
        recorded_calls: list[calls.Call],
        events: list[dict],
        marks: list[Mark] | None = None,
        rates: list[Rate] | None = None,
        probes: list[Probe] | None = None,
        key_texts: list[str] | None = None,
    ):
        self.calls = recorded_calls
        self.events = events
        self.marks = marks or []
        self.rates = rates or []
        self.probes = probes or []
        self.key_texts = key_texts or []
        self.by_id = {call.call_id: call for call in recorded_calls}

    def marked(self, kind: str) -> list[Mark]:
        """Returns the marks of a kind."""
        return [mark for mark in self.marks if mark.kind == kind]

    def of_kind(self, *kinds: str) -> list[dict]:
        """Returns the stand-ins' events of some kinds."""
        return [event for event in self.events if event['event'] in kinds]

    def runs_by_call(self) -> dict[str, list[dict]]:
        """Returns what stand-ins ran for each call."""
        found = collections.defaultdict(list)
        for event in self.of_kind(
            journals.EVENT_PREFILL, journals.EVENT_DECODE, journals.EVENT_RUN
        ):
            call_id = event_call_id(event)
            if call_id:
                found[call_id].append(event)
        return found

    def end_ms(self) -> float:
        """Returns when the run ended."""
        ends = [mark.end_ms for mark in self.marked(MARK_END)]
        if ends:
            return max(ends)
        return max((event['time_ms'] for event in self.events), default=0.0)


def event_call_id(event: dict) -> str:
    """Returns the id of the call that an event belongs to.

    A call of a plain service has it in its body, or else ends its path.
    """
    if event['event'] != journals.EVENT_RUN:
        return event.get('prompt_id', '')
    _, marker, rest = event.get('body', '').partition('[[id=')
    if marker:
        return rest.partition(']]')[0]
    return event.get('path', '').rpartition('/')[2]


def collect(
    log: calls.Log,
    record_folder: pathlib.Path,
    marks: list[Mark],
    rates: list[Rate],
    probes: list[Probe],
    key_texts: list[str],
) -> Evidence:
    """Reads what a finished run left."""
    events = journals.read_folder(record_folder)
    return Evidence(log.calls(), events, marks, rates, probes, key_texts)
