"""Measures what a call and an open link cost, at both ends."""

from collections import abc
import contextlib
import os
import pathlib
import sys
import tempfile
import time

from masticquay_bench import link_hosts
from masticquay_bench import measurements
from masticquay_bench import processes
from masticquay_wire import dialers
from masticquay_wire import peers

Measurement = measurements.Measurement

PORT = 7701
CALLS = 5_000
QUICK_CALLS = 1_000
AT_ONCE = 16
LINKS = 300
QUICK_LINKS = 60
SMALL_BYTES = 200
CALL_TIMEOUT_MS = 20_000
IDLE_S = 8.0
QUICK_IDLE_S = 3.0
COMPRESSIONS = ('none', 'deflate')


class LinkHost:
    """A listener in a process of its own."""

    def __init__(self, compression: str, folder: pathlib.Path):
        high, low = divmod(os.getpid(), 250)
        address = f'127.{100 + high % 150}.{low}.9:{PORT}'
        self.address = peers.Address.parse(address)
        self._compression = None if compression == 'none' else compression
        self.process = processes.Process(
            'link-host',
            'masticquay_bench.link_hosts',
            [address, compression],
            folder / 'link-host.log',
        )

    def dial(self, keep_open: bool = False) -> dialers.WebsocketPeer:
        """Makes a link to it."""
        return dialers.WebsocketPeer(
            self.address,
            'bench',
            link_hosts.SECRET,
            keep_open=keep_open,
            compression=self._compression,
        )


@contextlib.contextmanager
def open_host(compression: str) -> abc.Iterator[LinkHost]:
    """Runs a listener process."""
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        host = LinkHost(compression, pathlib.Path(folder))
        stack.callback(host.process.close)
        host.process.start()
        host.process.wait_ready()
        yield host


def measure_calls(compression: str, quick: bool) -> list[Measurement]:
    """Measures processor time and latency of calls over one link."""
    count = QUICK_CALLS if quick else CALLS
    message = link_hosts.EchoBytes(os.urandom(SMALL_BYTES))
    with contextlib.ExitStack() as stack:
        host = stack.enter_context(open_host(compression))
        link = stack.enter_context(contextlib.closing(host.dial()))
        link.call(message, CALL_TIMEOUT_MS)
        alone = _measure_loop(host, link, message, count, 1)
        batched = _measure_loop(host, link, message, count, AT_ONCE)
    context = f'{count} calls of {SMALL_BYTES} B, compression {compression}'
    found = []
    for label, (dialler_us, listener_us, taken_us) in (
        ('alone', alone),
        (f'of_{AT_ONCE}', batched),
    ):
        end = f'{label}_{compression}'
        found += [
            Measurement(f'call_dialler_us_{end}', dialler_us, 'us', context),
            Measurement(f'call_listener_us_{end}', listener_us, 'us', context),
            Measurement(f'call_us_{end}', taken_us, 'us', context),
        ]
    return found


def measure_memory(compression: str, quick: bool) -> list[Measurement]:
    """Measures memory and processor time of open, silent links."""
    count = QUICK_LINKS if quick else LINKS
    idle_s = QUICK_IDLE_S if quick else IDLE_S
    message = link_hosts.EchoBytes(b'x')
    with open_host(compression) as host, contextlib.ExitStack() as stack:
        with contextlib.closing(host.dial()) as first:
            first.call(message, CALL_TIMEOUT_MS)
        before = _read_memory(), host.process.memory_bytes()
        links = []
        for _number in range(count):
            link = stack.enter_context(
                contextlib.closing(host.dial(keep_open=True))
            )
            link.call(message, CALL_TIMEOUT_MS)
            links.append(link)
        after = _read_memory(), host.process.memory_bytes()
        cpu_s = time.process_time(), host.process.cpu_s()
        sent = _count_sent(links)
        time.sleep(idle_s)
        rate = (_count_sent(links) - sent) / idle_s / count
        used = (
            (time.process_time() - cpu_s[0]) * 1e6 / idle_s / count,
            (host.process.cpu_s() - cpu_s[1]) * 1e6 / idle_s / count,
        )
    context = f'{count} links kept open, compression {compression}'
    kilobytes = [
        (b - a) / 1024 / count for a, b in zip(before, after, strict=True)
    ]
    return [
        Measurement(
            f'link_dialler_kb_{compression}', kilobytes[0], 'KB', context
        ),
        Measurement(
            f'link_listener_kb_{compression}', kilobytes[1], 'KB', context
        ),
        Measurement(
            f'link_dialler_us_per_s_{compression}', used[0], 'us/s', context
        ),
        Measurement(
            f'link_listener_us_per_s_{compression}', used[1], 'us/s', context
        ),
        Measurement(
            f'link_heartbeats_per_s_{compression}', rate, '1/s', context
        ),
    ]


def run(quick: bool, seed: int) -> list[Measurement]:
    """Runs all measurements of links."""
    found = []
    for compression in COMPRESSIONS:
        found += measure_calls(compression, quick)
        found += measure_memory(compression, quick)
    return found


def _measure_loop(
    host: LinkHost,
    link: dialers.WebsocketPeer,
    message: link_hosts.EchoBytes,
    count: int,
    at_once: int,
) -> tuple[float, float, float]:
    """Returns microseconds a call: of the dialler, the listener, the clock."""
    begun = time.process_time(), host.process.cpu_s(), time.monotonic()
    for _round in range(count // at_once):
        pending = [
            link.submit(message, CALL_TIMEOUT_MS) for _call in range(at_once)
        ]
        for future in pending:
            future.result()
    ended = time.process_time(), host.process.cpu_s(), time.monotonic()
    made = count // at_once * at_once
    return tuple(
        (e - b) * 1e6 / made for b, e in zip(begun, ended, strict=True)
    )


def _count_sent(links: list[dialers.WebsocketPeer]) -> int:
    return sum(link.counters().sent_frames for link in links)


def _read_memory() -> int:
    fields = pathlib.Path('/proc/self/statm').read_text().split()
    return int(fields[1]) * os.sysconf('SC_PAGE_SIZE')


if __name__ == '__main__':
    for measured in run('--quick' in sys.argv[1:], 1):
        print(measured, flush=True)
