"""Stand-ins and a small deployment for the review's scripts.

Starts the project's own programs with the commands of the deploy file, on
loopback addresses, and stands in for the platform's list, the servers, the
operator and the callers, as the users' pages describe them. It needs nothing
but the standard library and the build of the deploy file.
"""

import collections
import contextlib
import http.client
import http.server
import json
import os
import pathlib
import random
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
LIMIT_S = 112.0
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
KEY = 'key-1'
HOST = 'a.example'
PLAIN, ONCE, MODEL = '/plain/', '/once/', '/llm/'
STAMP = 'X-Masticquay-Response-Stamp'
NOT_RUN = ('X-Masticquay-Not-Executed', '1')


class NotRun(Exception):
    """The case could not run, so it shows nothing."""


def plain_route(name, prefix, kind, attempts):
    return {
        'name': name,
        'hostname': HOST,
        'pathPrefix': prefix,
        'routeType': kind,
        'timeoutMs': 1500,
        'targetLatencyMs': 400,
        'priority': 2,
        'backend': 'ledger',
        'attempts': attempts,
        'public': False,
        'sessionAffinity': False,
        'resumable': False,
    }


def make_config(version=1):
    """Returns a configuration like those on the users' pages."""
    return {
        'version': version,
        'routes': [
            plain_route('r-plain', PLAIN, 'idempotent', 2),
            plain_route('r-once', ONCE, 'non_idempotent', 1),
            {
                'name': 'r-model',
                'hostname': HOST,
                'pathPrefix': MODEL,
                'routeType': 'streaming',
                'timeoutMs': 14000,
                'targetLatencyMs': 900,
                'priority': 1,
                'backend': 'models',
                'attempts': 2,
                'public': False,
                'sessionAffinity': True,
                'resumable': True,
                'itlTargetMs': 300,
            },
        ],
        'services': [
            {
                'name': 'ledger',
                'healthPath': '/health',
                'maxConnections': 96,
                'protocol': 'h1',
                'tls': False,
            },
            {
                'name': 'models',
                'healthPath': '/health',
                'maxConnections': 360,
                'protocol': 'h1',
                'tls': False,
                'engine': {
                    'slots': 64,
                    'kvTokens': 37952,
                    'kvBytes': 163840,
                    'linkMbps': 1500000.0,
                    'moves': True,
                    'backups': True,
                    'stride': 12,
                    'most': 12,
                    'kvTtlS': 0.5,
                    'roleSwitchS': 6.0,
                    'pinMs': 4000.0,
                    'holdMs': 2000.0,
                    'models': [{'name': 'm'}],
                },
            },
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {
                'name': 'w1',
                'apiKeys': [KEY],
                'priority': 1,
                'unit': 'tokens',
                'plainTokens': 200,
                'ratePerS': 0,
                'burst': 0,
            }
        ],
    }


class Record:
    """Writes what was sent, answered and run to a file, with times."""

    def __init__(self, path):
        self._file = path.open('w')
        self._lock = threading.Lock()
        self._began_s = time.monotonic()

    def write(self, text):
        with self._lock:
            elapsed_s = time.monotonic() - self._began_s
            self._file.write(f'{elapsed_s:8.3f} {text}\n')
            self._file.flush()


class Run:
    """A request that a server ran."""

    def __init__(self, server_id, call_id, method, path, body):
        self.server_id = server_id
        self.call_id = call_id
        self.method = method
        self.path = path
        self.body = body
        self.arrived_s = time.monotonic()


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def __getattr__(self, name):
        # Any method of a request, as a sound server reads them all.
        if name.startswith('do_'):
            return self._serve
        raise AttributeError(name)

    def _serve(self):
        length = int(self.headers.get('Content-Length') or 0)
        body = self.rfile.read(length)
        with contextlib.suppress(OSError):
            self.server.owner.serve(self, body)

    def answer(self, status, headers=(), body=b''):
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def begin_events(self, headers):
        self.send_response_only(200)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header('Content-Type', 'text/event-stream')
        self.send_header('Transfer-Encoding', 'chunked')
        self.end_headers()

    def write_event(self, data):
        self.wfile.write(b'%x\r\n%s\r\n' % (len(data), data))
        self.wfile.flush()

    def end_events(self):
        self.wfile.write(b'0\r\n\r\n')
        self.wfile.flush()


class _HttpServer(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    block_on_close = False
    request_queue_size = 256

    def __init__(self, address, owner):
        self.owner = owner
        super().__init__(address, _Handler)

    def handle_error(self, request, client_address):
        pass


class StandIn:
    """Something that serves HTTP on an address."""

    def __init__(self, deployment, ip, port):
        self.address = f'{ip}:{port}'
        self._http = _HttpServer((ip, port), self)
        threading.Thread(
            target=self._http.serve_forever, args=(0.05,), daemon=True
        ).start()
        deployment.stack.callback(self.close)

    def close(self):
        self._http.shutdown()
        self._http.server_close()


class Server(StandIn):
    """A server of a service: a plain one, or a model engine with a stage."""

    def __init__(self, deployment, ip, port, service, stage, version):
        self.deployment = deployment
        self.number = len(deployment.servers)
        self.instance_id = f'i-{self.number:08x}'
        self.service = service
        self.stage = stage
        self.version = version
        self.state = 'ready'
        self.born_ms = int(time.time() * 1000)
        self.work_s = 0.02
        self.events = 71
        self.event_s = 0.02
        self.is_down = False
        self.running = 0
        self.order_count = 0
        # The last event that was written, by the request's id.
        self.progress = {}
        self.lock = threading.Lock()
        super().__init__(deployment, ip, port)

    def list_entry(self):
        entry = {
            'id': self.instance_id,
            'backend': self.service,
            'address': self.address,
            'zone': 'z1',
            'version': self.version,
            'slots': 64 if self.stage else 6,
            'state': self.state,
            'coldRemainingMs': 0,
            'born': self.born_ms,
        }
        if self.stage:
            entry['stage'] = self.stage
            entry['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
        return entry

    def serve(self, handler, body):
        if self.is_down:
            handler.close_connection = True
            return
        path = handler.path
        if path == '/health':
            headers = [('X-Masticquay-Instance-Id', self.instance_id)]
            handler.answer(200, headers, b'')
        elif path == '/report':
            report = {
                'stage': self.stage,
                'busy': False,
                'seq': self.order_count,
                'queued': 0,
                'running': self.running,
                'born': self.born_ms,
            }
            handler.answer(200, (), json.dumps(report).encode())
        elif path == '/order':
            self._take_order(handler, json.loads(body))
        elif path.startswith('/kv-handle/'):
            handler.answer(200, (), b'')
        else:
            self._serve_request(handler, body)

    def _take_order(self, handler, order):
        self.deployment.record.write(f'order at {self.instance_id}: {order}')
        if order.get('stage') == self.stage:
            handler.answer(200, (), b'')
            return
        self.order_count += 1
        self.stage = order.get('stage')
        handler.answer(202, (), b'')

    def _serve_request(self, handler, body):
        call_id = handler.headers.get('X-Masticquay-Request-Id') or ''
        headers = [('X-Masticquay-Request-Id', call_id)]
        expected = handler.headers.get('X-Masticquay-Expect-Instance')
        if expected and expected != self.instance_id:
            handler.answer(421, [*headers, NOT_RUN], b'')
            return
        wants_prefill = handler.headers.get('X-Masticquay-Stage') == 'prefill'
        if bool(self.stage) and wants_prefill != (self.stage == 'prefill'):
            handler.answer(421, [*headers, NOT_RUN], b'')
            return
        if wants_prefill:
            handle = f'{random.getrandbits(48):012x}'
            answer = {'kvHandle': handle, 'tokens': 3200, 'version': 1}
            handler.answer(200, headers, json.dumps(answer).encode())
            return
        run = Run(
            self.instance_id, call_id, handler.command, handler.path, body
        )
        self.deployment.runs.append(run)
        self.deployment.record.write(
            f'server {self.instance_id} ({self.service} {self.version}) runs '
            f'{call_id or "no id"}: {run.method} {run.path} body {body!r:.60}'
            + (
                f' after event {handler.headers["Last-Event-Id"]}'
                if handler.headers['Last-Event-Id']
                else ''
            )
        )
        headers.append((STAMP, f'{self.number}.{random.getrandbits(40):x}'))
        with self.lock:
            self.running += 1
        try:
            if self.stage:
                self._stream(handler, headers, call_id)
            else:
                time.sleep(self.work_s)
                if self.is_down:
                    handler.close_connection = True
                    return
                handler.answer(200, headers, b'ran ' + call_id.encode())
        finally:
            with self.lock:
                self.running -= 1

    def _stream(self, handler, headers, call_id):
        last = int(handler.headers.get('Last-Event-Id') or 0)
        handler.begin_events(headers)
        for number in range(last + 1, self.events + 1):
            time.sleep(self.event_s)
            handler.write_event(
                b'id: %d\ndata: %s\n\n' % (number, self.version.encode())
            )
            self.progress[call_id] = number
        handler.end_events()


class List(StandIn):
    """The platform's list of servers.

    :ivar extra: entries of another writer, as JSON in bytes
    """

    def __init__(self, deployment, ip, port):
        self.deployment = deployment
        self.extra = []
        super().__init__(deployment, ip, port)

    def serve(self, handler, body):
        if handler.path.split('?')[0] != '/instances':
            handler.answer(404)
            return
        entries = [
            json.dumps(server.list_entry()).encode()
            for server in self.deployment.servers
            if server.state != 'gone'
        ]
        entries = self.extra + entries
        page = b'{"instances":[' + b','.join(entries) + b'],"next":null}'
        handler.answer(200, [('Content-Type', 'application/json')], page)


class Answer:
    """What a caller got.

    :ivar status: 0 when the channel ended without a whole answer
    """

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class Deployment:
    """A small deployment of the project's programs.

    :param controls: number of machines of the class core
    :param entries: number of machines of the class edge
    """

    def __init__(self, stack, record, controls=3, entries=2):
        self.stack = stack
        self.record = record
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        self.network = (
            f'127.{random.randint(16, 250)}.{random.randint(1, 250)}'
        )
        base = self._find_ports()
        self.link_port = base
        self.front_port, self.ready_port = base + 20, base + 21
        self.directory_port, self.control_port = base + 22, base + 23
        self.list_port, self.server_port = base + 24, base + 25
        self.controls = [f'{self.network}.{n + 1}' for n in range(controls)]
        self.entries = [f'{self.network}.{n + 31}' for n in range(entries)]
        self.processes = {}
        self.servers = []
        self.runs = collections.deque()
        self.list = List(self, f'{self.network}.99', self.list_port)
        with (ROOT / 'deploy' / 'system.toml').open('rb') as file:
            self.roles = tomllib.load(file)['roles']
        if not (ROOT / 'target' / 'deps').is_dir():
            raise NotRun('target/deps is missing: build first')
        stack.callback(self.kill_all)

    def _find_ports(self):
        for _ in range(50):
            base = random.randrange(20_000, 30_000, 32)
            try:
                for port in range(base, base + 26):
                    with socket.socket() as probe:
                        probe.bind((f'{self.network}.1', port))
            except OSError:
                continue
            return base
        raise NotRun('no free ports')

    def add_server(self, service, stage=None, version='v1'):
        ip = f'{self.network}.{110 + len(self.servers)}'
        server = Server(self, ip, self.server_port, service, stage, version)
        self.servers.append(server)
        return server

    def settings(self, ip, bootstrap):
        is_core = ip in self.controls
        listen = {
            'front': f'{ip}:{self.front_port}',
            'ready': f'{ip}:{self.ready_port}',
            'directory': f'{ip}:{self.directory_port}',
        }
        if is_core:
            listen = {'control': f'{ip}:{self.control_port}'}
        return {
            'nodeName': f'{"core" if is_core else "edge"}-{ip}',
            'role': 'control' if is_core else 'entry',
            'machineClass': 'core' if is_core else 'edge',
            'serves': ['control'] if is_core else ['edge', 'directory'],
            'ip': ip,
            'zone': 'z1',
            'region': 'r1',
            'zones': {'z1': 'r1'},
            'listen': listen,
            'internalPorts': [self.link_port, self.link_port + 15],
            'seedNodes': [
                f'{c}:{self.control_port}' for c in self.controls[:3]
            ],
            'bootstrap': bootstrap,
            'inTolerance': is_core,
            'dataDir': str(self.folder / f'data-{ip}') if is_core else None,
            'discovery': 'cloud_api',
            'entry': 'directory',
            'heartbeatMs': 1200,
            'faultTolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': {
                'seedLagS': 3,
                'addrReuseS': 2,
                'contactMs': 3000,
                'ackMs': 4000,
                'catchUpS': 4,
                'drainMs': 3000,
                'graceS': 8,
                'lostSlackMs': 200,
                'configApplyMs': 2000,
                'rollbackSlackMs': 250,
                'skewMaxMs': 5000,
                'failClosed': False,
                'revokeMs': 5000,
                'retryBudgetRatio': 0.2,
                'budgetWindowS': 10,
                'budgetSlack': 58,
                'recoverS': 12,
                'transitMs': 120,
                'requireFencing': True,
                'leaseMs': 3000,
                'thawMs': 300,
                'ttl_max_s': 5,
            },
            'configMode': 'highest',
            'cloudApi': {
                'address': self.list.address,
                'ratePerS': 47.0,
                'duties': [],
                'lagMs': 800,
            },
        }

    def start(self, ip, bootstrap=True):
        """Starts the program of a machine as the deploy file says."""
        settings = self.settings(ip, bootstrap)
        if settings['dataDir']:
            pathlib.Path(settings['dataDir']).mkdir(exist_ok=True)
        path = self.folder / f'settings-{ip}.json'
        path.write_text(json.dumps(settings))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['MASTICQUAY_CONFIG'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with (self.folder / f'log-{ip}').open('ab') as log:
            self.processes[ip] = subprocess.Popen(
                self.roles[settings['role']]['run'].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write(f'start {ip} ({settings["role"]})')

    def start_all(self):
        for ip in [*self.controls, *self.entries]:
            self.start(ip)

    def kill(self, ip):
        """Ends the process of a machine with SIGKILL."""
        process = self.processes.pop(ip)
        process.kill()
        process.wait()
        self.record.write(f'kill {ip}')

    def kill_all(self):
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()

    def freeze(self, ip, for_s):
        """Stops the process of a machine for a time."""
        self.record.write(f'freeze {ip} for {for_s} s')
        self.processes[ip].send_signal(signal.SIGSTOP)
        time.sleep(for_s)
        self.processes[ip].send_signal(signal.SIGCONT)
        self.record.write(f'thaw {ip}')

    def log_of(self, ip):
        return (self.folder / f'log-{ip}').read_text(errors='replace')

    def call_control(self, ip, method, body=None):
        """Sends a call of the operator, following redirects twice."""
        address = f'{ip}:{self.control_port}'
        for _ in range(3):
            answer = exchange(address, method, '/config', {}, body, 2.0)
            if answer.status != 307:
                return answer
            address = answer.headers['location'].split('/')[2]
        return answer

    def put_config(self, config, within_s=30.0):
        """Sends a configuration until it is acknowledged.

        :returns: whether it was
        """
        body = json.dumps(config).encode()
        deadline_s = time.monotonic() + within_s
        while time.monotonic() < deadline_s:
            for ip in self.controls:
                answer = self.call_control(ip, 'PUT', body)
                self.record.write(f'PUT /config at {ip}: {answer.status}')
                if answer.status == 200:
                    return True
            time.sleep(0.3)
        return False

    def leader(self):
        """Returns the control machine that answers for itself, or None."""
        for ip in self.controls:
            address = f'{ip}:{self.control_port}'
            if (
                exchange(address, 'GET', '/config', {}, None, 1.0).status
                == 200
            ):
                return ip
        return None

    def is_ready(self, ip):
        address = f'{ip}:{self.ready_port}'
        return exchange(address, 'GET', '/ready', {}, None, 1.0).status == 200

    def request_headers(self, call_id, **more):
        return {
            'Host': HOST,
            'X-Masticquay-Request-Id': call_id,
            'X-Masticquay-Deadline-Ms': '1500',
            'Authorization': f'Bearer {KEY}',
            **more,
        }

    def model_headers(self, call_id, tokens='3200,71', **more):
        return self.request_headers(
            call_id,
            **{
                'X-Masticquay-Deadline-Ms': '14000',
                'X-Masticquay-Model': 'm',
                'X-Masticquay-Token-Usage': tokens,
                'X-Masticquay-Prefix-Hash': f'5c1e07a2:200,{call_id}:3000',
                **more,
            },
        )

    def request(self, ip, path, call_id, body=b'x', timeout_s=3.0):
        """Sends one request of a caller on a new channel."""
        return exchange(
            f'{ip}:{self.front_port}',
            'POST',
            path,
            self.request_headers(call_id),
            body,
            timeout_s,
        )

    def stream(self, ip, call_id, timeout_s=14.0, **more):
        """Sends a model request and reads its whole stream."""
        return exchange(
            f'{ip}:{self.front_port}',
            'POST',
            MODEL + 'x',
            self.model_headers(call_id, **more),
            b'x',
            timeout_s,
        )

    def wait_until_served(self, within_s=30.0, with_models=True):
        """Waits until every entry machine serves, and else gives up."""
        for ip in self.entries:
            wait_for(lambda ip=ip: self.is_ready(ip), within_s, 'ready')
            wait_for(
                lambda ip=ip: (
                    self.request(ip, PLAIN + 'w', new_id('warm')).status == 200
                ),
                within_s,
                'a plain request to be served',
            )
            if with_models:
                wait_for(
                    lambda ip=ip: (
                        self.stream(ip, new_id('warm')).status == 200
                    ),
                    within_s,
                    'a model request to be served',
                )


def exchange(address, method, path, headers, body, timeout_s):
    """Sends one request on a new channel and reads the whole answer."""
    host, _, port = address.rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        found = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, found, response.read())
    except (OSError, http.client.HTTPException) as cause:
        return Answer(0, {}, type(cause).__name__.encode())
    finally:
        connection.close()


_numbers = iter(range(1, 1 << 30))


def new_id(kind):
    return f'{kind}-{next(_numbers):05d}'


def wait_for(condition, within_s, description, pause_s=0.1):
    deadline_s = time.monotonic() + within_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline_s:
            raise NotRun(f'timed out waiting for {description}')
        time.sleep(pause_s)


def main(case_file, play):
    """Plays a case and ends with its result as exit status.

    :param play: called with a stack and a record; returns whether the rule
        held
    """
    folder = pathlib.Path(case_file).resolve().parent
    record = Record(folder / 'record.txt')
    timer = threading.Timer(LIMIT_S, _give_up, [record])
    timer.daemon = True
    timer.start()
    for number in STOP_SIGNALS:
        signal.signal(number, _stop)
    status = EXIT_NOT_RUN
    try:
        with contextlib.ExitStack() as stack:
            held = play(stack, record)
            status = EXIT_HELD if held else EXIT_BROKEN
    except NotRun as cause:
        record.write(f'the case could not run: {cause}')
        print(cause, file=sys.stderr)
    except Exception as cause:
        # A fault of the script itself shows nothing of the rule.
        record.write(f'the script failed: {type(cause).__name__}: {cause}')
        traceback.print_exc()
    words = {0: 'the rule held', 1: 'the rule was broken', 2: 'not run'}
    record.write(words[status])
    print(words[status], flush=True)
    # Threads of stand-ins may still wait on sockets.
    os._exit(status)


def _stop(*_args):
    """Ends the case; a second signal must not cut the clean-up short."""
    for number in STOP_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    sys.exit(EXIT_NOT_RUN)


def _give_up(record):
    record.write('the case took too long')
    os.kill(os.getpid(), signal.SIGTERM)
