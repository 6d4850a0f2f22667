"""A run of a fleet: operations with their times, probes and calls."""

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
from masticquay_bench import fleets
from masticquay_bench import observations
from masticquay_bench import whole_answers
from masticquay_standins import journals

PROBE_TIMEOUT_S = 2
DRAIN_TIMEOUT_S = 60
STATUS_SERVED = 200
STATUS_NO_ROUTE = 404


class Run:
    """Performs operations on a fleet and records them for the checkers.

    :param fleet: a started fleet
    :param seed: seed of the random choices of callers
    """

    def __init__(self, fleet: fleets.Fleet, seed: int = 0):
        self.fleet = fleet
        self.log = calls.CallLog()
        self.marks: list[observations.Mark] = []
        self.probes: list[observations.Probe] = []
        # What the operator's command of the last mark reported.
        self.last_report: typing.Any = None
        self.stopped_entries: set[int] = set()
        self._seed = seed
        self._call_numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._callers: dict[tuple[str, int], callers.Caller] = {}

    def caller(self, workspace: str, key_number: int = 0) -> callers.Caller:
        """Returns the caller for a key of a workspace; creates it once."""
        workspace_key = (workspace, key_number)
        with self._lock:
            if workspace_key not in self._callers:
                self._callers[workspace_key] = callers.Caller(
                    self.log,
                    self.fleet.caller_addresses,
                    workspace,
                    self.fleet.key_of_workspace(workspace, key_number),
                    key_number,
                    self._seed + len(self._callers),
                )
            return self._callers[workspace_key]

    def unauthorized_caller(self, key: str) -> callers.Caller:
        """Returns a caller whose key authorizes nothing."""
        return self._make_disallowed_caller('stranger', key)

    def other_workspace_caller(self) -> callers.Caller:
        """Returns a caller with a valid key of the wrong workspace.

        It may not use the routes of the first workspace.
        """
        workspace = self.fleet.deployment.workspaces[1].name
        return self._make_disallowed_caller(
            workspace, self.fleet.key_of_workspace(workspace)
        )

    def _make_disallowed_caller(
        self, workspace: str, key: str
    ) -> callers.Caller:
        """Returns a caller whose calls must all be refused."""
        return callers.Caller(
            self.log,
            self.fleet.caller_addresses,
            workspace,
            key,
            may_run=False,
        )

    def next_id(self, prefix: str = 'call') -> str:
        """Returns a new call id."""
        return f'{prefix}-{next(self._call_numbers)}'

    def withdraw(self, workspace: str, key_number: int) -> observations.Mark:
        """Withdraws a key; returns the mark with begin and end."""
        key = self.fleet.key_of_workspace(workspace, key_number)
        subject = f'{workspace}/{key_number}'
        return self._record_mark(
            observations.MARK_WITHDRAWN,
            subject,
            lambda: self.fleet.withdraw_key(key),
        )

    def roll(
        self, edit: typing.Callable[[dict], None] | None = None
    ) -> observations.Mark:
        """Rolls the next bundle; returns the mark with begin and end.

        :param edit: changes the bundle's plain values before signing
        """
        version = str(self.fleet.bundle_version + 1)
        path = self.fleet.write_bundle(int(version), edit)
        return self._record_mark(
            observations.MARK_ROLLED,
            version,
            lambda: self.fleet.roll_bundle_file(path),
        )

    def drain_entry(self, number: int) -> observations.Mark:
        """Stops an entry host gracefully and waits for its exit.

        :raises FleetError: when it exited with an error or not in time
        """
        process = self.fleet.entries[number]
        self.stopped_entries.add(number)

        def stop() -> None:
            process.terminate()
            code = process.wait(DRAIN_TIMEOUT_S)
            if code:
                raise errors.FleetError(f'{process.name} exited with {code}')

        address = self.fleet.layout.caller(number)
        return self._record_mark(observations.MARK_DRAIN, address, stop)

    def count_serving_hosts(self) -> tuple[int, int]:
        """Returns how many hosts serve the newest bundle and how many run."""
        probes = self.probe_all()
        served = sum(p is not None and p.served for p in probes)
        return served, len(probes)

    def kill_entry(self, number: int) -> None:
        """Kills an entry host."""
        self.stopped_entries.add(number)
        self.fleet.entries[number].kill()

    def restart_entry(self, number: int) -> None:
        """Starts an entry host again."""
        self.fleet.entries[number].start()
        self.fleet.entries[number].wait_ready()
        self.stopped_entries.discard(number)

    def kill_engine(self, number: int) -> None:
        """Kills an engine, which loses its memory."""
        self._record_mark(
            observations.MARK_ENGINE_KILLED,
            f'engine-{number}',
            self.fleet.engines[number].kill,
        )

    def restart_engine(self, number: int) -> None:
        """Starts an engine again, with empty memory."""
        self.fleet.engines[number].start()
        self.fleet.engines[number].wait_ready()

    def set_leaving_endpoints(self, names: set[str]) -> None:
        """Makes the platform list the named endpoints as leaving.

        All others are listed as live. Records a mark for each endpoint that
        leaves; it is open while the endpoint is listed as leaving.
        """
        now_ms = journals.now_ms()
        with self._lock:
            open_marks = {
                mark.subject: mark
                for mark in self.marks
                if mark.kind == observations.MARK_LEAVING and not mark.end_ms
            }
            for name in open_marks.keys() - names:
                open_marks[name].end_ms = now_ms
            self.fleet.publish_platform_list(names)
            for name in names - open_marks.keys():
                mark = observations.Mark(
                    observations.MARK_LEAVING, name, now_ms, 0.0
                )
                self.marks.append(mark)

    def find_leader(self) -> int:
        """Returns the number of the control host that is the leader.

        :raises FleetError: when there is no leader
        """
        status = self.fleet.run_operator_command('bundle', 'status')
        for row in status['rows']:
            if row['role'] == 'leader':
                return int(row['replica'].rpartition('-')[2])
        raise errors.FleetError('control has no leader')

    def probe_entry(
        self, number: int, version: int
    ) -> observations.Probe | None:
        """Asks an entry host whether it serves the open path of a version.

        :returns: None when the host did not answer or refused all work
        """
        address = self.fleet.layout.caller(number)
        path = deployments.probe_path(self.fleet.deployment, version)
        sent_ms = journals.now_ms()
        status = _fetch_status(address, path)
        if status not in (STATUS_SERVED, STATUS_NO_ROUTE):
            return None
        served = status == STATUS_SERVED
        now_ms = journals.now_ms()
        probe = observations.Probe(address, version, served, sent_ms, now_ms)
        self.probes.append(probe)
        return probe

    def probe_all(self) -> list[observations.Probe | None]:
        """Probes every running entry host for the newest bundle version."""
        return [
            self.probe_entry(number, self.fleet.bundle_version)
            for number in range(len(self.fleet.entries))
            if number not in self.stopped_entries
        ]

    def collect(self) -> observations.RunData:
        """Marks the end of the run and returns its data."""
        now_ms = journals.now_ms()
        self.marks.append(
            observations.Mark(observations.MARK_END, '', now_ms, now_ms)
        )
        return observations.collect(
            self.log,
            self.fleet.record_folder,
            self.marks,
            self.fleet.rates(),
            self.probes,
            list(self.fleet.keys),
        )

    def save(self, folder: pathlib.Path) -> None:
        """Saves calls, journals, logs and settings to a folder.

        Leaves out secrets, private keys and the data of control hosts.
        """
        shutil.copytree(
            self.fleet.folder,
            folder,
            dirs_exist_ok=True,
            ignore=shutil.ignore_patterns('secret', '*.pem', 'control-?'),
        )
        self.log.write(folder / 'calls.jsonl')

    def _record_mark(
        self,
        kind: str,
        subject: str,
        operation: typing.Callable[[], typing.Any],
    ) -> observations.Mark:
        """Performs an operation; returns the mark with its begin and end."""
        mark = observations.Mark(
            kind, subject, journals.now_ms(), float('inf')
        )
        self.marks.append(mark)
        self.last_report = operation()
        mark.end_ms = journals.now_ms()
        return mark


def _fetch_status(address: str, path: str) -> int:
    """Returns the status of a GET request, 0 without a response."""
    connection = http.client.HTTPConnection(address, timeout=PROBE_TIMEOUT_S)
    try:
        connection.request('GET', path)
        response = connection.getresponse()
        whole_answers.require_length(response)
        response.read()
        return response.status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()
