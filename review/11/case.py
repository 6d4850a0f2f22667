"""Requests by way of a peer that was frozen.

Both entry hosts are cut off from all servers: new channels are refused, open
ones live on. One host has open ones, and sends the requests of the other. It
is frozen for a second.
"""

import collections
import contextlib
import os
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-3'))
import harness  # noqa: E402
from tests import documents  # noqa: E402
from tests import servers  # noqa: E402
from tests import standins  # noqa: E402

# A host without open channels, and one or two with some.
HOSTS = int(os.environ.get('HOSTS', '2'))
# Further hosts of the zone, without open channels and without callers, so that
# one host is a tenth of them.
OTHERS = 8
# A little more than a host takes of peers at once.
BATCH = 70
BATCH_WORK_S, WORK_S = 3.4, 0.25
# A body that is sent to a peer ahead of its request; 4 MB are allowed.
LARGE_BODY = 40_000 * b'x'
LARGE, SMALL = 6, 12
STEADY_CALLERS, WARMING = 18, 150


class WorkingServer(servers.Server):
    """A plain server with 64 places and a time of work for each path."""

    def list_item(self):
        return {**super().list_item(), 'slots': 64}

    def answer(self, request, reply, call_id, headers):
        self.record.write(f'{self.instance_id} runs {call_id}')
        is_long = call_id.startswith('batch')
        time.sleep(BATCH_WORK_S if is_long else WORK_S)
        super().answer(request, reply, call_id, headers)

    def refuse_new_channels(self):
        self.server.stop_accepting()


class Callers:
    """Sends requests in threads and keeps the answers."""

    def __init__(self, deployment, record):
        self.deployment = deployment
        self.record = record
        self.answers = {}
        self.stopping = threading.Event()
        self.steady = []

    def send(self, ip, path, call_id, body=b'b'):
        try:
            status = self.deployment.request(
                ip,
                path,
                call_id,
                body=body,
                **{'X-Masticquay-Deadline-Ms': '4102'},
            ).status
        except OSError as cause:
            status = type(cause).__name__
        self.answers[call_id] = status
        self.record.write(f'{call_id} at {ip}: {status}')

    def send_all(self, ip, path, name, count, body=b'b', gap_s=0.0):
        """Starts and returns a thread for each request."""
        threads = []
        for number in range(count):
            arguments = (ip, path, f'{name}{number}', body)
            threads.append(threading.Thread(target=self.send, args=arguments))
            threads[-1].start()
            time.sleep(gap_s)
        return threads

    def begin_steady(self, ip):
        """Has callers send one request after the other."""

        def press(caller):
            number = 0
            while not self.stopping.is_set():
                number += 1
                with contextlib.suppress(OSError):
                    self.deployment.request(
                        ip, '/once/x', f'steady-{ip}-{caller}-{number}'
                    )

        for caller in range(STEADY_CALLERS):
            thread = threading.Thread(target=press, args=(caller,))
            thread.start()
            self.steady.append(thread)

    def end_steady(self):
        self.stopping.set()
        join(self.steady)


def join(threads):
    for thread in threads:
        thread.join()


def play(stack, deployment, record, has_trouble):
    WorkingServer.record = record
    for number in range(3):
        service = 'batch' if number else 'plain'
        deployment.servers.append(
            WorkingServer(stack, deployment.network, number, service)
        )
    deployment.start_and_configure(
        make_config(),
        lambda ip: deployment.request(ip, '/once/x', f'w-{ip}').status == 200,
    )
    time.sleep(4)
    first, *peers = deployment.entries[:HOSTS]
    second = peers[0]
    callers = Callers(deployment, record)
    # The other hosts have opened channels to all servers.
    warming = []
    for ip in peers:
        warming += callers.send_all(ip, '/once/x', f'warm-{ip}', WARMING // 3)
        warming += callers.send_all(
            ip, '/batch/x', f'warm-b-{ip}', 2 * WARMING // 3
        )
    join(warming)
    for ip in peers:
        callers.begin_steady(ip)
    time.sleep(0.5)
    if has_trouble:
        record.write('all hosts are cut off, open channels live on')
        for server in deployment.servers:
            server.refuse_new_channels()
    # Each of the others has one caller, and finds that it has lost its way.
    for ip in deployment.entries[HOSTS:]:
        callers.send_all(ip, '/once/x', f'other-{ip}', 1)
    time.sleep(0.5)
    standins.wait_for(
        lambda: deployment.request(first, '/once/x', 'probe').status == 200
    )
    batch = callers.send_all(
        first,
        '/batch/x',
        'batch',
        BATCH * len(peers),
        gap_s=0.005 / len(peers),
    )
    time.sleep(0.2)
    if has_trouble:
        record.write(f'{second} is frozen')
        deployment.signal(second, standins.SIGSTOP)
    join(callers.send_all(first, '/once/x', 'large', LARGE, LARGE_BODY))
    if has_trouble:
        deployment.signal(second, standins.SIGCONT)
        record.write(f'{second} is thawed')
    join(batch)
    callers.end_steady()
    join(callers.send_all(first, '/once/x', 'small', SMALL * len(peers)))
    time.sleep(2)
    return check(deployment, callers.answers, record)


def make_config():
    once = dict(
        documents.PLAIN_ROUTE,
        name='r-once',
        routeType='non_idempotent',
        attempts=1,
        timeoutMs=800,
        pathPrefix='/once/',
    )
    batch = dict(
        once,
        name='r-batch',
        pathPrefix='/batch/',
        timeoutMs=4_000,
        backend='batch',
    )
    batch_service = dict(documents.PLAIN_SERVICE, name='batch')
    return harness.make_config(
        [once, batch], [documents.PLAIN_SERVICE, batch_service], tenants=None
    )


def check(deployment, answers, record):
    """Whether no request ran whose answer promises that it has not."""
    runs = collections.Counter(
        call_id
        for server in deployment.servers
        for call_id in server.executed_ids
    )
    refused = [c for c, a in answers.items() if a in (429, 503) and runs[c]]
    twice = [c for c in answers if runs[c] > 1]
    for call_id in refused:
        record.write(f'{call_id} was answered {answers[call_id]} and has run')
    record.write(
        f'{len(refused)} requests were refused and have run, {len(twice)} ran '
        'more than once; none may'
    )
    return not refused and not twice


harness.run(FOLDER, '127.0.116', play, controls=3, entries=HOSTS + OTHERS)
