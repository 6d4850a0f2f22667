"""Measures the processor time of a pool's owner, links included.

The owner runs in a process of its own, with the real service and links; this
process is an entry host that sends requests at a fixed rate.
"""

import heapq
import queue
import random as random_module
import subprocess
import sys
import time
import typing

from masticquay_bench import decision_traces
from masticquay_membership import messages as membership_messages
from masticquay_membership import protocols as membership_protocols
from masticquay_scheduling import clients
from masticquay_scheduling import directories
from masticquay_scheduling import messages
from masticquay_scheduling import protocols
from masticquay_scheduling import services
from masticquay_scheduling import settings as scheduling_settings
from masticquay_wire import clocks
from masticquay_wire import listeners
from masticquay_wire import peers

SECRET = b'cost of decisions'
LOOPBACK = '127.0.0.1'
PREFILL_S = 0.05
DECODE_S = 1.0
READ_LINE = 'read\n'


class StaticMembership:
    """A view that never changes."""

    def __init__(
        self,
        host: membership_messages.Host,
        hosts: list[membership_messages.Host],
    ):
        self.host = host
        self._state = membership_protocols.HostState(
            1,
            decision_traces.SHARD.make_bundle(),
            1,
            frozenset(),
            membership_messages.View(1, hosts),
            1,
        )

    def state(self) -> membership_protocols.HostState:
        """Returns the state."""
        return self._state

    def lease_valid(self) -> bool:
        """Always holds the lease."""
        return True

    def add_listener(
        self, listener: membership_protocols.StateListener
    ) -> None:
        """Never calls it."""


class IdleWatcher:
    """Endpoints that report no load."""

    def read_load(self, endpoint: str) -> protocols.EndpointLoad:
        """Returns an idle load."""
        return protocols.EndpointLoad(0, 0, 0, 1, 'v', 0)

    def read_cache_events(
        self, endpoint: str, after_sequence: int
    ) -> list[protocols.CacheEvent]:
        """Returns nothing."""
        return []

    def cancel(self, endpoint: str, request: messages.RequestId) -> bool:
        """Acknowledges."""
        return True

    def is_leaving(self, endpoint: str) -> bool:
        """Nothing leaves."""
        return False


def _make_hosts(
    owner_port: int, entry_port: int
) -> list[membership_messages.Host]:
    # A leaving host owns nothing, so the other one owns every pool.
    return [
        membership_messages.Host(
            'owner', 1, 'place0', '', f'{LOOPBACK}:{owner_port}'
        ),
        membership_messages.Host(
            'entry', 1, 'place0', '', f'{LOOPBACK}:{entry_port}', leaving=True
        ),
    ]


def run_owner() -> None:
    """Serves until its input ends; prints its processor time when asked."""
    listener = listeners.Listener(peers.Address(LOOPBACK, 0), 'owner', SECRET)
    listener.start()
    hosts = _make_hosts(listener.address.port, 0)
    membership = StaticMembership(hosts[0], hosts)
    directory = directories.PeerDirectory('owner', SECRET)
    clock = clocks.MonotonicClock()
    random = random_module.Random(1)
    settings = scheduling_settings.SchedulingSettings()
    service = services.SchedulingService(
        membership,
        listener,
        IdleWatcher(),
        clock,
        random,
        settings,
        directory,
    )
    pools = clients.PoolClient(
        membership, service, directory, clock, random, settings
    )
    service.start()
    pools.start()
    print(listener.address.port, flush=True)
    for _ in sys.stdin:
        print(time.process_time(), flush=True)
    pools.close()
    service.close()
    listener.close()


class Sender:
    """An entry host that sends requests at a fixed rate."""

    def __init__(self, pools: clients.PoolClient, per_s: float):
        self._pools = pools
        self._interval_s = 1 / per_s
        self._due: list[tuple[float, int, typing.Callable]] = []
        self._ready: queue.SimpleQueue = queue.SimpleQueue()
        self._number = 0
        self.placed = 0

    def run(self, duration_s: float) -> None:
        """Sends for a while and waits for nothing."""
        start_s = next_s = time.monotonic()
        pool = self._pools.pool_of('m', 'place0')
        while time.monotonic() < start_s + duration_s:
            while next_s <= time.monotonic():
                self._send(pool)
                next_s += self._interval_s
            while self._due and self._due[0][0] <= time.monotonic():
                heapq.heappop(self._due)[2]()
            while not self._ready.empty():
                self._ready.get()()
            time.sleep(0.001)

    def _after(self, delay_s: float, step: typing.Callable) -> None:
        self._number += 1
        entry = (time.monotonic() + delay_s, self._number, step)
        heapq.heappush(self._due, entry)

    def _send(self, pool: str) -> None:
        self._number += 1
        request = messages.RequestId('entry', 1, self._number)
        blocks = [self._number * 100 + block for block in range(10)]
        future = self._pools.admit(
            messages.Admit(
                pool,
                request,
                1,
                f'w{self._number % 5}',
                decision_traces.CLASS_DRAFT,
                blocks,
                800,
                128,
                2_000,
                60_000,
                2_000,
                late_decode=True,
            )
        )
        future.add_done_callback(
            lambda done: self._ready.put(lambda: self._placed(done.result()))
        )

    def _placed(self, outcome: protocols.PlacementResult) -> None:
        placement = outcome.value_or(None)
        if placement is not None:
            self.placed += 1
            self._after(PREFILL_S, lambda: self._prefilled(placement))

    def _prefilled(self, placement: messages.Placement) -> None:
        future = self._pools.await_decode(
            placement.pool, placement.request, 1, 800
        )
        future.add_done_callback(
            lambda done: self._ready.put(
                lambda: self._after(DECODE_S, lambda: self._end(placement))
            )
        )

    def _end(self, placement: messages.Placement) -> None:
        finished = messages.Finished(
            placement.request, 1, messages.FINISHED_DONE, 60
        )
        self._pools.finish(placement.pool, finished)


def measure_owner_us(per_s: float, duration_s: float) -> float:
    """Returns the owner's processor time for each placed request."""
    command = [sys.executable, '-m', __name__]
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as process:
        try:
            return _measure(process, per_s, duration_s)
        finally:
            process.stdin.close()
            process.wait(10)


def _measure(
    process: subprocess.Popen, per_s: float, duration_s: float
) -> float:
    hosts = _make_hosts(int(process.stdout.readline()), 0)
    membership = StaticMembership(hosts[1], hosts)
    directory = directories.PeerDirectory('entry', SECRET)
    pools = clients.PoolClient(
        membership,
        None,
        directory,
        clocks.MonotonicClock(),
        random_module.Random(1),
        scheduling_settings.SchedulingSettings(),
    )
    pools.start()
    sender = Sender(pools, per_s)
    try:
        sender.run(duration_s / 4)
        before_s, placed = _read_cpu_s(process), sender.placed
        sender.run(duration_s)
        used_s = _read_cpu_s(process) - before_s
    finally:
        pools.close()
        directory.close()
    return 1e6 * used_s / max(1, sender.placed - placed)


def _read_cpu_s(process: subprocess.Popen) -> float:
    process.stdin.write(READ_LINE)
    process.stdin.flush()
    return float(process.stdout.readline())


if __name__ == '__main__':
    run_owner()
