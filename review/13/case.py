"""A server that wants no requests of a machine for a while.

Callers press for some seconds, so that requests wait for a place. Meanwhile a
server turns one request of a machine away with 503 and ``Retry-After``.
"""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-3'))
import harness  # noqa: E402
from tests import documents  # noqa: E402
from tests import servers  # noqa: E402

SERVERS, SLOTS, WORK_S = 3, 6, 0.27
# The usual traffic and a burst of the site: two thirds of what the servers can
# do, times 2.3, for 4 s.
BURST_S = 4.0
RATE_PER_S = 100
ASKED_AFTER_S = 2.0
RETRY_AFTER_S = 3.0
# The rule: more than two requests between half a second after the answer and
# the end of the time.
GRACE_S, MAX_REQUESTS = 0.5, 2


class PausingServer(servers.Server):
    """A plain server that may turn one request away and want a pause."""

    def __init__(self, *arguments):
        self.wants_pause = threading.Event()
        self.answered_s = None
        self.came = []
        super().__init__(*arguments)
        self.capacity = SLOTS
        self.work_s = WORK_S

    def serve_request(self, request, reply):
        call_id = request.header('x-masticquay-request-id')
        self.came.append((time.monotonic(), call_id))
        if not self.wants_pause.is_set():
            super().serve_request(request, reply)
            return
        self.wants_pause.clear()
        headers = [
            ('X-Masticquay-Request-Id', call_id),
            ('Retry-After', str(RETRY_AFTER_S)),
            ('X-Masticquay-Server-Load', f'{SLOTS},0,{SLOTS}'),
            servers.NOT_RUN_MARK,
        ]
        reply.send(503, headers)
        self.answered_s = time.monotonic()
        self.record.write(
            f'{self.instance_id} answers {call_id}: 503, '
            f'Retry-After: {RETRY_AFTER_S}'
        )


def play(stack, deployment, record, has_trouble):
    PausingServer.record = record
    for number in range(SERVERS):
        deployment.servers.append(
            PausingServer(stack, deployment.network, number, 'plain')
        )
    route = dict(
        documents.PLAIN_ROUTE,
        routeType='non_idempotent',
        attempts=1,
        timeoutMs=4_000,
        targetLatencyMs=400,
    )
    config = harness.make_config(
        [route], [documents.PLAIN_SERVICE], tenants=None
    )
    deployment.start_and_configure(
        config,
        lambda ip: deployment.request(ip, '/plain/x', f'w-{ip}').status == 200,
    )
    time.sleep(4)
    server = deployment.servers[0]
    threads = []
    begun_s = time.monotonic()
    count = 0
    is_asked = False
    while time.monotonic() < begun_s + BURST_S:
        if not is_asked and time.monotonic() > begun_s + ASKED_AFTER_S:
            is_asked = True
            if has_trouble:
                server.wants_pause.set()
        count += 1
        thread = threading.Thread(
            target=send, args=(deployment, record, count)
        )
        thread.start()
        threads.append(thread)
        due_s = begun_s + count / RATE_PER_S
        time.sleep(max(0.0, due_s - time.monotonic()))
    for thread in threads:
        thread.join()
    for other in deployment.servers:
        record.write(
            f'{other.instance_id}: {len(other.came)} arrivals, '
            f'{other.full_count} turned away as full'
        )
    if server.answered_s is None:
        return not has_trouble
    late = [
        (came_s, call_id)
        for came_s, call_id in server.came
        if server.answered_s + GRACE_S
        < came_s
        < server.answered_s + RETRY_AFTER_S
    ]
    for came_s, call_id in late:
        after_s = came_s - server.answered_s
        record.write(
            f'{call_id} reaches {server.instance_id} {after_s:.3f} s '
            'after it has asked for the pause'
        )
    record.write(f'{len(late)} requests in the pause; {MAX_REQUESTS} may')
    return len(late) <= MAX_REQUESTS


def send(deployment, record, number):
    ip = deployment.entries[0]
    begun_s = time.monotonic()
    try:
        answer = deployment.request(
            ip,
            '/plain/x',
            f'r{number}',
            **{'X-Masticquay-Deadline-Ms': '4102'},
        )
        outcome = answer.status
    except OSError as cause:
        outcome = type(cause).__name__
    took_s = time.monotonic() - begun_s
    record.write(f'r{number} at {ip}: {outcome} after {took_s:.3f} s')


harness.run(FOLDER, '127.0.112', play, controls=3, entries=1)
