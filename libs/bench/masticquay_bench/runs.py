"""One run of a fleet: its events, each marked with its time, and its calls."""

import http.client
import itertools
import pathlib
import shutil
import threading
import typing

from masticquay_bench import callers
from masticquay_bench import calls
from masticquay_bench import deployments
from masticquay_bench import errors
from masticquay_bench import evidence
from masticquay_bench import fleets
from masticquay_standins import journals

PROBE_TIMEOUT_S = 2
DRAIN_TIMEOUT_S = 60
STATUS_SERVED = 200
STATUS_NO_ROUTE = 404


class Run:
    """Drives a fleet and keeps what the checkers need.

    :param fleet: a started fleet
    """

    def __init__(self, fleet: fleets.Fleet, seed: int = 0):
        self.fleet = fleet
        self.log = calls.Log()
        self.marks: list[evidence.Mark] = []
        self.probes: list[evidence.Probe] = []
        self.retired: set[int] = set()
        self._seed = seed
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._callers: dict[tuple[str, int], callers.Caller] = {}

    def caller(self, workspace: str, key_number: int = 0) -> callers.Caller:
        """Returns the caller that uses a workspace's key."""
        identity = (workspace, key_number)
        with self._lock:
            if identity not in self._callers:
                self._callers[identity] = callers.Caller(
                    self.log,
                    self.fleet.caller_addresses,
                    workspace,
                    self.fleet.key_of(workspace, key_number),
                    key_number,
                    self._seed + len(self._callers),
                )
            return self._callers[identity]

    def stranger(self, key: str) -> callers.Caller:
        """Returns a caller whose key allows nothing."""
        return self._disallowed('stranger', key)

    def foreigner(self) -> callers.Caller:
        """Returns a caller with a key, for routes of another workspace."""
        workspace = self.fleet.deployment.workspaces[1].name
        return self._disallowed(workspace, self.fleet.key_of(workspace))

    def _disallowed(self, workspace: str, key: str) -> callers.Caller:
        return callers.Caller(
            self.log,
            self.fleet.caller_addresses,
            workspace,
            key,
            may_run=False,
        )

    def next_id(self, prefix: str = 'call') -> str:
        """Returns a call id that was not used before."""
        return f'{prefix}-{next(self._numbers)}'

    def withdraw(self, workspace: str, key_number: int) -> evidence.Mark:
        """Withdraws a key; returns the mark with its times."""
        key = self.fleet.key_of(workspace, key_number)
        subject = f'{workspace}/{key_number}'
        return self._marked(
            evidence.MARK_WITHDRAWN,
            subject,
            lambda: self.fleet.withdraw_key(key),
        )

    def roll(
        self, change: typing.Callable[[dict], None] | None = None
    ) -> evidence.Mark:
        """Rolls the next bundle; returns the mark with its times."""
        version = str(self.fleet.bundle_version + 1)
        path = self.fleet.write_bundle(int(version), change)
        return self._marked(
            evidence.MARK_ROLLED, version, lambda: self.fleet.roll_file(path)
        )

    def drain_entry(self, number: int) -> evidence.Mark:
        """Stops an entry host gracefully and waits for its end.

        :raises FleetError: when it ended with an error or not at all
        """
        process = self.fleet.entries[number]
        self.retired.add(number)

        def stop() -> None:
            process.terminate()
            code = process.wait(DRAIN_TIMEOUT_S)
            if code:
                raise errors.FleetError(f'{process.name} ended with {code}')

        address = self.fleet.layout.caller(number)
        return self._marked(evidence.MARK_DRAIN, address, stop)

    def count_served(self) -> tuple[int, int]:
        """Returns how many hosts serve the newest bundle, and of how many."""
        probes = self.probe_all()
        served = sum(p is not None and p.served for p in probes)
        return served, len(probes)

    def kill_entry(self, number: int) -> None:
        """Kills an entry host."""
        self.retired.add(number)
        self.fleet.entries[number].kill()

    def restart_entry(self, number: int) -> None:
        """Starts an entry host again."""
        self.fleet.entries[number].start()
        self.fleet.entries[number].wait_ready()
        self.retired.discard(number)

    def kill_engine(self, number: int) -> None:
        """Kills an engine."""
        self._marked(
            evidence.MARK_ENGINE_KILLED,
            f'engine-{number}',
            self.fleet.engines[number].kill,
        )

    def restart_engine(self, number: int) -> None:
        """Starts an engine again, with an empty memory."""
        self.fleet.engines[number].start()
        self.fleet.engines[number].wait_ready()

    def list_leaving(self, names: set[str]) -> None:
        """Lists endpoints as leaving, and all others as live."""
        now_ms = journals.now_ms()
        with self._lock:
            leaving = {
                mark.subject: mark
                for mark in self.marks
                if mark.kind == evidence.MARK_LEAVING and not mark.end_ms
            }
            for name in leaving.keys() - names:
                leaving[name].end_ms = now_ms
            self.fleet.list_endpoints(names)
            for name in names - leaving.keys():
                mark = evidence.Mark(evidence.MARK_LEAVING, name, now_ms, 0.0)
                self.marks.append(mark)

    def find_leader(self) -> int:
        """Returns the number of the control host that leads.

        :raises FleetError: when there is none
        """
        status = self.fleet.operate('bundle', 'status')
        for row in status['rows']:
            if row['role'] == 'leader':
                return int(row['replica'].rpartition('-')[2])
        raise errors.FleetError('no control host leads')

    def probe(self, number: int, version: int) -> evidence.Probe | None:
        """Asks an entry host whether it serves a version's open path.

        :returns: None when the host said neither yes nor no
        """
        address = self.fleet.layout.caller(number)
        path = deployments.probe_path(self.fleet.deployment, version)
        sent_ms = journals.now_ms()
        status = _get_status(address, path)
        if status not in (STATUS_SERVED, STATUS_NO_ROUTE):
            return None
        served = status == STATUS_SERVED
        now_ms = journals.now_ms()
        probe = evidence.Probe(address, version, served, sent_ms, now_ms)
        self.probes.append(probe)
        return probe

    def probe_all(self) -> list[evidence.Probe | None]:
        """Probes every entry host for the newest version."""
        return [
            self.probe(number, self.fleet.bundle_version)
            for number in range(len(self.fleet.entries))
            if number not in self.retired
        ]

    def collect(self) -> evidence.Evidence:
        """Ends the run and returns what it left."""
        now_ms = journals.now_ms()
        self.marks.append(evidence.Mark(evidence.MARK_END, '', now_ms, now_ms))
        return evidence.collect(
            self.log,
            self.fleet.record_folder,
            self.marks,
            self.fleet.rates(),
            self.probes,
            list(self.fleet.keys),
        )

    def save(self, folder: pathlib.Path) -> None:
        """Copies calls, journals, logs and settings to a folder."""
        shutil.copytree(
            self.fleet.folder,
            folder,
            dirs_exist_ok=True,
            ignore=shutil.ignore_patterns('secret', '*.pem', 'control-?'),
        )
        self.log.write(folder / 'calls.jsonl')

    def _marked(
        self, kind: str, subject: str, act: typing.Callable[[], typing.Any]
    ) -> evidence.Mark:
        mark = evidence.Mark(kind, subject, journals.now_ms(), float('inf'))
        self.marks.append(mark)
        act()
        mark.end_ms = journals.now_ms()
        return mark


def _get_status(address: str, path: str) -> int:
    """Returns the status of a GET, 0 when there was no answer."""
    link = http.client.HTTPConnection(address, timeout=PROBE_TIMEOUT_S)
    try:
        link.request('GET', path)
        response = link.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        link.close()
