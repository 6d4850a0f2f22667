"""Measures the replicated log, with one process for each replica."""

from collections import abc
from concurrent import futures
import contextlib
import os
import pathlib
import statistics
import sys
import tempfile
import threading
import time

from masticquay_bench import errors
from masticquay_bench import measurements
from masticquay_bench import processes
from masticquay_bench import replica_hosts
from masticquay_wire import dialers
from masticquay_wire import errors as wire_errors
from masticquay_wire import peers

Measurement = measurements.Measurement

PORT = 7700
REPLICA_COUNTS = (3, 5, 7)
COMMAND_BYTES = 200
AT_ONCE = 64
CALL_TIMEOUT_MS = 20_000
WAIT_S = 60
POLL_S = 0.005
IDLE_S = 10.0
QUICK_IDLE_S = 4.0
TAKEOVERS = 5
QUICK_TAKEOVERS = 2
MISSED = (0, 100, 500, 2_000, 10_000)
QUICK_MISSED = (0, 500)
# TCP and IP headers, and the acknowledgement of the other side.
HEADER_BYTES_PER_FRAME = 104


class Group:
    """Replicas in processes of their own, and a link to each."""

    def __init__(self, count: int, folder: pathlib.Path):
        self._stack = contextlib.ExitStack()
        high, low = divmod(os.getpid(), 250)
        self._addresses = {
            f'r{n}': f'127.{100 + high % 150}.{low}.{n + 1}:{PORT}'
            for n in range(count)
        }
        voters = [f'{n}={a}' for n, a in self._addresses.items()]
        self.processes = {
            name: processes.Process(
                name,
                'masticquay_bench.replica_hosts',
                [name, str(folder), *voters],
                folder / f'{name}.log',
            )
            for name in self._addresses
        }
        self.links = {}
        for name, address in self._addresses.items():
            link = dialers.WebsocketPeer(
                peers.Address.parse(address), 'bench', replica_hosts.SECRET
            )
            self.links[name] = self._stack.enter_context(
                contextlib.closing(link)
            )

    def __enter__(self) -> 'Group':
        for process in self.processes.values():
            self._stack.callback(process.close)
            process.start()
        for process in self.processes.values():
            process.wait_ready()
        self.find_leader()
        return self

    def __exit__(self, *details: object) -> None:
        self._stack.close()

    def meters(self, name: str) -> replica_hosts.Meters | None:
        """Returns a replica's meters, None when it gave no answer."""
        if not self.processes[name].running:
            return None
        try:
            return self.links[name].call(replica_hosts.QueryMeters(), 500)
        except wire_errors.WireError:
            return None

    def find_leader(self) -> str:
        """Waits until a replica leads and has committed."""
        end_s = time.monotonic() + WAIT_S
        while time.monotonic() < end_s:
            for name in self.processes:
                found = self.meters(name)
                if found is not None and found.leading and self._commits(name):
                    return name
            time.sleep(POLL_S)
        raise errors.FleetError('no replica leads')

    def propose(self, name: str) -> futures.Future:
        """Proposes a command at a replica."""
        command = replica_hosts.ProposeCommand(os.urandom(COMMAND_BYTES))
        return self.links[name].submit(command, CALL_TIMEOUT_MS)

    def commit_many(self, name: str, count: int) -> list[float]:
        """Commits commands, ``AT_ONCE`` at a time; returns the seconds."""
        gate = threading.Semaphore(AT_ONCE)
        taken_s: list[float] = []

        def finish(begun_s: float, done: futures.Future) -> None:
            gate.release()
            done.result()
            taken_s.append(time.monotonic() - begun_s)

        for _number in range(count):
            gate.acquire()
            begun_s = time.monotonic()
            self.propose(name).add_done_callback(
                lambda done, begun_s=begun_s: finish(begun_s, done)
            )
        for _number in range(AT_ONCE):
            gate.acquire()
        if len(taken_s) != count:
            raise errors.FleetError(f'{count - len(taken_s)} commits failed')
        return taken_s

    def wait_applied(self, name: str, index: int) -> None:
        """Waits until a replica applied an index."""
        end_s = time.monotonic() + WAIT_S
        while time.monotonic() < end_s:
            found = self.meters(name)
            if found is not None and found.applied_index >= index:
                return
            time.sleep(POLL_S)
        raise errors.FleetError(f'{name} did not catch up')

    def _commits(self, name: str) -> bool:
        try:
            self.propose(name).result(WAIT_S)
        except wire_errors.WireError:
            return False
        return True


def measure_commits(count: int, quick: bool) -> list[Measurement]:
    """Measures rate and latency of commits at a number of replicas."""
    commits = 1_000 if quick else 6_000
    singles = 100 if quick else 400
    context = f'{count} replicas, {COMMAND_BYTES} B a command'
    with _open_group(count) as group:
        leader = group.find_leader()
        group.commit_many(leader, AT_ONCE)
        cpu_s = {n: p.cpu_s() for n, p in group.processes.items()}
        begun_s = time.monotonic()
        taken_ms = [s * 1e3 for s in group.commit_many(leader, commits)]
        rate = commits / (time.monotonic() - begun_s)
        used_us = {
            n: (p.cpu_s() - cpu_s[n]) * 1e6 / commits
            for n, p in group.processes.items()
        }
        alone_ms = []
        for _number in range(singles):
            begun_s = time.monotonic()
            group.propose(leader).result(WAIT_S)
            alone_ms.append((time.monotonic() - begun_s) * 1e3)
    follower_us = max(us for n, us in used_us.items() if n != leader)
    many = f'{context}, {AT_ONCE} at once'
    return [
        Measurement(f'commits_per_s_{count}', rate, '1/s', many),
        _percentile(f'commit_p50_ms_{count}', taken_ms, 50, many),
        _percentile(f'commit_p99_ms_{count}', taken_ms, 99, many),
        _percentile(f'commit_alone_p50_ms_{count}', alone_ms, 50, context),
        _percentile(f'commit_alone_p99_ms_{count}', alone_ms, 99, context),
        Measurement(f'commit_leader_us_{count}', used_us[leader], 'us', many),
        Measurement(f'commit_follower_us_{count}', follower_us, 'us', many),
    ]


def measure_takeover(quick: bool) -> list[Measurement]:
    """Measures the time from a leader's SIGKILL to the next commit."""
    repeats = QUICK_TAKEOVERS if quick else TAKEOVERS
    taken_ms = []
    with _open_group(3) as group:
        for _number in range(repeats):
            leader = group.find_leader()
            begun_s = time.monotonic()
            group.processes[leader].kill()
            group.find_leader()
            taken_ms.append((time.monotonic() - begun_s) * 1e3)
            group.processes[leader].start()
            group.processes[leader].wait_ready()
    context = f'{repeats} kills of the leader of 3'
    return [
        _percentile('takeover_p50_ms', taken_ms, 50, context),
        Measurement('takeover_max_ms', max(taken_ms), 'ms', context),
    ]


def measure_catch_up(quick: bool) -> list[Measurement]:
    """Measures how long a restarted replica takes to have all changes."""
    found = []
    with _open_group(3) as group:
        for missed in QUICK_MISSED if quick else MISSED:
            leader = group.find_leader()
            sleeper = next(n for n in group.processes if n != leader)
            group.processes[sleeper].kill()
            if missed:
                group.commit_many(leader, missed)
            index = group.meters(leader).applied_index
            begun_s = time.monotonic()
            group.processes[sleeper].start()
            group.wait_applied(sleeper, index)
            taken_ms = (time.monotonic() - begun_s) * 1e3
            snapshots = group.meters(sleeper).snapshots_installed
            context = f'{missed} missed, {snapshots} snapshots, with start'
            found.append(
                Measurement(f'catch_up_ms_{missed}', taken_ms, 'ms', context)
            )
    return found


def measure_idle(count: int, quick: bool) -> list[Measurement]:
    """Measures what a group without commands spends."""
    idle_s = QUICK_IDLE_S if quick else IDLE_S
    with _open_group(count) as group:
        leader = group.find_leader()
        time.sleep(1)
        before = group.meters(leader)
        cpu_s = {n: p.cpu_s() for n, p in group.processes.items()}
        time.sleep(idle_s)
        after = group.meters(leader)
        used = {
            n: (p.cpu_s() - cpu_s[n]) / idle_s
            for n, p in group.processes.items()
        }
        memory = group.processes[leader].memory_bytes()
    sent = after.sent_bytes - before.sent_bytes
    received = after.received_bytes - before.received_bytes
    frames = after.sent_frames - before.sent_frames
    total = sent + received + frames * HEADER_BYTES_PER_FRAME
    others = max(share for n, share in used.items() if n != leader)
    context = f'{count} replicas, idle for {idle_s:g} s'
    return [
        Measurement(
            f'idle_leader_frame_bytes_per_s_{count}',
            (sent + received) / idle_s,
            'B/s',
            context,
        ),
        Measurement(
            f'idle_leader_bytes_per_s_{count}',
            total / idle_s,
            'B/s',
            f'{context}; headers worked out',
        ),
        Measurement(
            f'idle_leader_core_share_{count}', used[leader], 'core', context
        ),
        Measurement(
            f'idle_follower_core_share_{count}', others, 'core', context
        ),
        Measurement(f'leader_mb_{count}', memory / 2**20, 'MB', context),
    ]


def run(quick: bool, seed: int) -> list[Measurement]:
    """Runs all measurements of the log."""
    found = []
    for count in REPLICA_COUNTS:
        found += measure_commits(count, quick)
    for count in REPLICA_COUNTS:
        found += measure_idle(count, quick)
    found += measure_takeover(quick)
    found += measure_catch_up(quick)
    return found


@contextlib.contextmanager
def _open_group(count: int) -> abc.Iterator[Group]:
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        yield stack.enter_context(Group(count, pathlib.Path(folder)))


def _percentile(
    name: str, values: list[float], percent: int, context: str
) -> Measurement:
    cuts = statistics.quantiles(values, n=100, method='inclusive')
    return Measurement(name, cuts[percent - 1], 'ms', context)


if __name__ == '__main__':
    for measured in run('--quick' in sys.argv[1:], 1):
        print(measured, flush=True)
