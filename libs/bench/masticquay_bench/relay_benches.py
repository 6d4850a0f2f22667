"""Cost of relaying tokens and short answers through one entry host.

Each function starts a small fleet of real processes, loads its one entry
host, and returns records. The host's processor time and memory are read
from the system, so they cover everything that the host does.
"""

import json
import os
import pathlib
import re
import selectors
import socket
import threading
import time
import typing

from masticquay_bench import errors
from masticquay_bench import fleets
from masticquay_wire import peers
from masticquay_wire import records

STREAMS = 105
STEP_MS = 35
STREAM_TOKENS = 400
ENGINES = 6
SLOTS = 20
RATE_TOKENS = 100_000_000
SETTLE_S = 3
MEASURE_S = 8
START_LIMIT_S = 30
READ_BYTES = 65_536
QUICK_S = 3
ECHO_S = 0.5
ECHO_BYTES = 200
SHORT_CALLERS = 16
TOKEN_MARK = b'"text": "'
LENGTH_PATTERN = re.compile(rb'Content-Length: (\d+)')
LAST_MARK = b'"text": "", "finish_reason": "'


class Record(records.Record):
    """One measured value."""

    __slots__ = ('name', 'value', 'unit', 'context')

    def __init__(
        self, name: str, value: float, unit: str, context: dict[str, str]
    ):
        self.name = name
        self.value = value
        self.unit = unit
        self.context = context


def run(quick: bool, seed: int) -> list[Record]:
    """Runs every bench of this module.

    The echo cost is what one small message costs this machine now, so that
    figures of runs under different load can be compared.
    """
    seconds = QUICK_S if quick else MEASURE_S
    echo = Record('echo_cpu', measure_echo(), 'us/message', {})
    return [
        echo,
        *measure_streams(measure_s=seconds),
        *measure_short_answers(seconds=seconds),
    ]


def measure_echo(seconds: float = ECHO_S) -> float:
    """Returns processor time for one message through a socket pair."""
    near, far = socket.socketpair()
    message = b'x' * ECHO_BYTES
    count = 0
    with near, far:
        end_s = time.monotonic() + seconds
        before_s = time.thread_time()
        while time.monotonic() < end_s:
            near.send(message)
            far.recv(READ_BYTES)
            count += 1
        return (time.thread_time() - before_s) / count * 1e6


def measure_streams(
    streams: int = STREAMS, step_ms: int = STEP_MS, measure_s: int = MEASURE_S
) -> list[Record]:
    """Measures processor time per token and memory per stream."""
    context = {'streams': str(streams), 'step_ms': str(step_ms)}
    with _open_fleet(step_ms) as fleet:
        pid = fleet.entries[0].pid
        idle = _cpu_share(pid, measure_s)
        memory_before = _resident_bytes(pid)
        load = _StreamLoad(fleet, streams)
        load.start()
        load.wait_started()
        time.sleep(SETTLE_S)
        memory_during = _resident_bytes(pid)
        tokens_before, cpu_before = load.tokens, _cpu_s(pid)
        started_s = time.monotonic()
        time.sleep(measure_s)
        elapsed_s = time.monotonic() - started_s
        cpu_s = _cpu_s(pid) - cpu_before
        tokens = load.tokens - tokens_before
        load.stop()
    if not tokens:
        raise errors.FleetError('no token arrived')
    per_stream = (memory_during - memory_before) / streams
    return [
        Record('tokens_per_s', tokens / elapsed_s, 'tokens/s', context),
        Record('us_per_token', cpu_s / tokens * 1e6, 'us/token', context),
        Record('host_cores', cpu_s / elapsed_s, 'cores', context),
        Record('idle_cores', idle, 'cores', context),
        Record('kib_per_stream', per_stream / 1024, 'KiB/stream', context),
    ]


def measure_short_answers(
    callers: int = SHORT_CALLERS, seconds: int = MEASURE_S
) -> list[Record]:
    """Measures requests a second with answers of one token."""
    context = {'callers': str(callers), 'output_tokens': '1'}
    with _open_fleet(1) as fleet:
        load = _ShortLoad(fleet, callers)
        pid = fleet.entries[0].pid
        load.start()
        time.sleep(1)
        before, cpu_before = load.answered, _cpu_s(pid)
        started_s = time.monotonic()
        time.sleep(seconds)
        elapsed_s = time.monotonic() - started_s
        answered = load.answered - before
        cpu_s = _cpu_s(pid) - cpu_before
        load.stop()
    if not answered:
        raise errors.FleetError('no request was answered')
    return [
        Record(
            'short_requests_per_s', answered / elapsed_s, 'requests/s', context
        ),
        Record(
            'us_per_short_request',
            cpu_s / answered * 1e6,
            'us/request',
            context,
        ),
        Record('short_refused', load.refused, 'requests', context),
    ]


def _open_fleet(step_ms: int) -> fleets.Fleet:
    names = [w.name for w in fleets.deployments.KALAMU.workspaces]
    return fleets.Fleet(
        sizes=fleets.Sizes(1, 1, ENGINES, 1, SLOTS),
        engine_options={'step_ms': step_ms, 'prefill_token_us': 1},
        rates=dict.fromkeys(names, (RATE_TOKENS, RATE_TOKENS)),
    )


def _request_bytes(
    fleet: fleets.Fleet, number: int, tokens: int, stream: bool
) -> bytes:
    workspaces = fleet.deployment.workspaces
    key = fleet.key_of(workspaces[number % len(workspaces)].name)
    body = {
        'model': fleet.deployment.model,
        'prompt': f'[[id=r{number}]] [[tokens={tokens}]] chapter',
        'max_tokens': tokens,
        'stream': stream,
    }
    data = json.dumps(body).encode()
    head = (
        'POST /v1/completions HTTP/1.1\r\nHost: entry\r\n'
        f'Authorization: Bearer {key}\r\n'
        f'Content-Length: {len(data)}\r\n\r\n'
    )
    return head.encode() + data


class _StreamLoad:
    """Keeps a number of streams open; one thread reads all of them."""

    def __init__(self, fleet: fleets.Fleet, streams: int):
        self.tokens = 0
        self._fleet = fleet
        self._streams = streams
        self._selector = selectors.DefaultSelector()
        self._started: set[int] = set()
        self._stopped = False
        self._numbers = 0
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Opens the streams."""
        for _ in range(self._streams):
            self._open()
        self._thread.start()

    def wait_started(self) -> None:
        """Waits until each stream has sent something."""
        end_s = time.monotonic() + START_LIMIT_S
        while len(self._started) < self._streams:
            if time.monotonic() > end_s:
                raise errors.FleetError('not every stream began')
            time.sleep(0.05)

    def stop(self) -> None:
        """Ends the reader."""
        self._stopped = True
        self._thread.join()
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()
        self._selector.close()

    def _open(self) -> None:
        address = peers.Address.parse(self._fleet.caller_addresses[0])
        sock = socket.create_connection((address.host, address.port))
        self._numbers += 1
        sock.sendall(
            _request_bytes(self._fleet, self._numbers, STREAM_TOKENS, True)
        )
        self._selector.register(sock, selectors.EVENT_READ)

    def _run(self) -> None:
        while not self._stopped:
            for key, _ in self._selector.select(0.1):
                self._read(key.fileobj)

    def _read(self, sock: typing.Any) -> None:
        data = sock.recv(READ_BYTES)
        if not data:
            self._selector.unregister(sock)
            sock.close()
            if not self._stopped:
                self._open()
            return
        self._started.add(sock.fileno())
        self.tokens += data.count(TOKEN_MARK) - data.count(LAST_MARK)


class _ShortLoad:
    """Callers that ask again as soon as they are answered."""

    def __init__(self, fleet: fleets.Fleet, callers: int):
        self.answered = 0
        self.refused = 0
        self._fleet = fleet
        self._lock = threading.Lock()
        self._stopped = False
        self._threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True)
            for n in range(callers)
        ]

    def start(self) -> None:
        """Starts the callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends the callers."""
        self._stopped = True
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        address = peers.Address.parse(self._fleet.caller_addresses[0])
        request = _request_bytes(self._fleet, number, 1, False)
        with socket.create_connection((address.host, address.port)) as sock:
            while not self._stopped:
                sock.sendall(request)
                answer = _read_answer(sock)
                with self._lock:
                    if answer.startswith(b'HTTP/1.1 200'):
                        self.answered += 1
                    else:
                        self.refused += 1


def _read_answer(sock: socket.socket) -> bytes:
    """Reads one answer with a Content-Length."""
    data = b''
    while True:
        data += sock.recv(READ_BYTES)
        head, end, body = data.partition(b'\r\n\r\n')
        if end and len(body) >= int(LENGTH_PATTERN.search(head)[1]):
            return data


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf('SC_CLK_TCK')


def _cpu_share(pid: int, seconds: int) -> float:
    before = _cpu_s(pid)
    started_s = time.monotonic()
    time.sleep(seconds)
    return (_cpu_s(pid) - before) / (time.monotonic() - started_s)


def _resident_bytes(pid: int) -> int:
    pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * os.sysconf('SC_PAGE_SIZE')


def main() -> None:
    """Prints the records."""
    for record in run(False, 0):
        print(f'{record.name}: {record.value:.2f} {record.unit}')


if __name__ == '__main__':
    main()
