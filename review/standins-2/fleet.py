"""Starts a small deployment with stand-ins for servers, list and clients.

Only the standard library is used. Each process gets a loopback address of its
own, so the ports are those of a deployment.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
FRONT_PORT, READY_PORT, DIRECTORY_PORT = 8221, 8224, 8220
CONTROL_PORT, LIST_PORT, SERVER_PORT, METRICS_PORT = 8229, 8225, 8080, 9464
LINK_PORT = 7600
# The time of a whole script.
LIMIT_S = 116
EXIT_HELD, EXIT_BROKEN, EXIT_COULD_NOT_RUN = 0, 1, 2
# The bounds of the site kalamu-quay.
BOUNDS = {
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
    'quotaWindowS': 8,
    'quotaExcess': 0.1,
    'quotaSlack': 140000,
    'recoverS': 12,
    'transitMs': 120,
    'retryAfterS': 7.7,
    'requireFencing': True,
    'leaseMs': 3000,
    'thawMs': 300,
    'ttl_max_s': 5,
}
ENGINE = {
    'slots': 64,
    'kvTokens': 37563,
    'kvBytes': 163840,
    'linkMbps': 1200000.0,
    'moves': True,
    'backups': True,
    'stride': 11,
    'most': 12,
    'kvTtlS': 0.5,
    'roleSwitchS': 6.0,
    'pinMs': 4000.0,
    'holdMs': 2000.0,
    'models': [{'name': 'm'}],
}
HOST = 'ficu95.example'
KEY = 'i9n73hh2b9wu3fexd9dn'


def make_route(name, prefix, kind, backend, **fields):
    """Returns a route of a configuration."""
    is_stream = kind == 'streaming'
    return {
        'name': name,
        'hostname': HOST,
        'pathPrefix': prefix,
        'routeType': kind,
        'timeoutMs': 14000 if is_stream else 800,
        'targetLatencyMs': 900 if is_stream else 300,
        'priority': 1 if is_stream else 2,
        'backend': backend,
        'attempts': 1,
        'public': False,
        'sessionAffinity': is_stream,
        'resumable': False,
        'itlTargetMs': 300 if is_stream else 0,
        **fields,
    }


def make_config(version, routes):
    """Returns a configuration as the operator sends it."""
    plain = {
        'healthPath': '/health',
        'maxConnections': 110,
        'protocol': 'h1',
        'tls': False,
    }
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': 'llm', **plain, 'maxConnections': 370, 'engine': ENGINE},
            {'name': 'ledger', **plain},
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {
                'name': 'hule930',
                'apiKeys': [KEY],
                'priority': 1,
                'unit': 'tokens',
                'plainTokens': 200,
                'ratePerS': 36000,
                'burst': 36000,
            }
        ],
    }


class CouldNotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, with the time in seconds."""

    def __init__(self, path):
        self._begun_s = time.monotonic()
        self._path = pathlib.Path(path)
        self._path.write_text('')

    def now_s(self):
        return time.monotonic() - self._begun_s

    def add(self, kind, text):
        line = f'{self.now_s():8.3f} {kind}: {text}'
        with self._path.open('a', encoding='utf-8') as file:
            file.write(line + '\n')
        if os.environ.get('SHOW'):
            print(line)


class Message:
    """A request or an answer that was read."""

    def __init__(self, first_line, headers, body):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    def header(self, name, default=''):
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return default


async def read_head(reader):
    """Returns the first line and the headers of a message."""
    data = await reader.readuntil(b'\r\n\r\n')
    lines = data.decode('latin-1').split('\r\n')[:-2]
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers.append((name, value.strip()))
    return lines[0], headers


async def read_message(reader):
    """Reads a message with its whole body."""
    first_line, headers = await read_head(reader)
    message = Message(first_line, headers, b'')
    if 'chunked' in message.header('transfer-encoding').lower():
        parts = []
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if not size:
                break
        message.body = b''.join(parts)
    else:
        size = int(message.header('content-length', '0') or 0)
        message.body = await reader.readexactly(size)
    return message


def encode(first_line, headers, body=b''):
    """Returns the bytes of a message with a length."""
    lines = [first_line, *(f'{n}: {v}' for n, v in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


class Server:
    """A stand-in for a server; ``answer`` may be replaced.

    :param stage: ``prefill``, ``decode`` or None for a plain service
    """

    def __init__(self, fleet, number, service, stage=None):
        self.fleet = fleet
        self.ip = f'{fleet.network}.{100 + number}'
        self.address = f'{self.ip}:{SERVER_PORT}'
        self.instance_id = f'i-{number:08x}'
        self.service = service
        self.stage = stage
        self.state = 'ready'
        self.version = 'v1'
        self.zone = 'ke-central-a'
        self.born_ms = int(time.time() * 1000)
        self.seq = 0
        self.stamp = 0
        self.run_ids = []
        self.done_ids = []
        # Whether what runs is left out of the record.
        self.is_quiet = False
        self.answer = None
        self.events = 10
        self.gap_s = 0.03
        self.alter_event = None
        self.listener = None
        self.tasks = set()

    def list_item(self):
        item = {
            'backend': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.version,
            'slots': 64,
            'state': self.state,
            'coldRemainingMs': 0,
            'id': self.instance_id,
            'born': self.born_ms,
        }
        if self.stage:
            models = [{'name': 'm', 'version': 1, 'adapters': []}]
            item.update(stage=self.stage, models=models)
        return item

    async def start(self):
        self.listener = await asyncio.start_server(
            self.serve, self.ip, SERVER_PORT, limit=2**22
        )

    async def stop(self):
        if self.listener:
            self.listener.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def serve(self, reader, writer):
        """Serves a channel in a task that ``stop`` ends."""
        task = asyncio.ensure_future(self.serve_channel(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve_channel(self, reader, writer):
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, OSError
        ):
            while True:
                request = await read_message(reader)
                if not await self.serve_one(request, reader, writer):
                    break
        with contextlib.suppress(Exception):
            writer.close()

    async def serve_one(self, request, reader, writer):
        """Serves a request; returns whether the channel stays open."""
        method, target, _ = request.first_line.split(' ')
        if target == '/report':
            report = {
                'stage': self.stage,
                'busy': False,
                'seq': self.seq,
                'models': [],
                'queued': 0,
                'running': 0,
                'kvUsed': 0,
                'kvTotal': 37563,
                'kvHandles': 0,
                'born': self.born_ms,
            }
            await self.send(writer, 200, [], json.dumps(report).encode())
            return True
        if target == '/order':
            order = json.loads(request.body)
            self.fleet.record.add('order', f'{self.instance_id} {order}')
            self.seq += 1
            if order.get('op') == 'stage':
                self.stage = order['stage']
            await self.send(writer, 202, [])
            return True
        if target.startswith('/kv-handle/'):
            await self.send(writer, 200, [])
            return True
        call_id = request.header('x-masticquay-request-id')
        headers = [('X-Masticquay-Request-Id', call_id)]
        expected = request.header('x-masticquay-expect-instance')
        if expected and expected != self.instance_id:
            headers.append(('X-Masticquay-Not-Executed', '1'))
            await self.send(writer, 421, headers)
            return True
        wants_prefill = request.header('x-masticquay-stage') == 'prefill'
        if wants_prefill != (self.stage == 'prefill'):
            headers.append(('X-Masticquay-Not-Executed', '1'))
            await self.send(writer, 421, headers)
            return True
        if wants_prefill:
            body = {
                'kvHandle': f'h{random.getrandbits(48):x}',
                'tokens': 3200,
                'version': 1,
            }
            headers.append(('Content-Type', 'application/json'))
            await self.send(writer, 200, headers, json.dumps(body).encode())
            return True
        self.stamp += 1
        self.run_ids.append(call_id)
        headers.append(
            ('X-Masticquay-Response-Stamp', f'{self.instance_id}.{self.stamp}')
        )
        if not self.is_quiet:
            self.fleet.record.add('run', f'{self.instance_id} {call_id}')
        return await self.answer(self, request, headers, reader, writer)

    async def send(self, writer, status, headers, body=b''):
        writer.write(encode(f'HTTP/1.1 {status} Status', headers, body))
        await writer.drain()


async def answer_stream(server, request, headers, reader, writer):
    """Answers with ``server.events`` events, ``server.gap_s`` apart.

    An event is changed by ``server.alter_event``, if that is set.
    """
    await begin_stream(writer, headers)
    first = int(request.header('last-event-id') or 0) + 1
    for number in range(first, server.events + 1):
        event = b'id: %d\ndata: piece %d\n\n' % (number, number)
        if server.alter_event is not None:
            event = server.alter_event(number, event)
        write_chunk(writer, event)
        await writer.drain()
        await asyncio.sleep(server.gap_s)
    writer.write(b'0\r\n\r\n')
    await writer.drain()
    return True


async def begin_stream(writer, headers):
    lines = [
        'HTTP/1.1 200 OK',
        *(f'{n}: {v}' for n, v in headers),
        'X-Masticquay-Weight-Versions: 1',
        'Content-Type: text/event-stream',
        'Transfer-Encoding: chunked',
    ]
    writer.write('\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n')
    await writer.drain()


async def answer_plain(server, request, headers, reader, writer):
    """Answers a request of a plain service after its usual work."""
    await asyncio.sleep(0.06)
    await server.send(writer, 200, headers, b'done ' + request.body)
    return True


def write_chunk(writer, data):
    writer.write(b'%x\r\n%b\r\n' % (len(data), data))


class Answer:
    """What a client got."""

    def __init__(self):
        self.status = 0
        self.headers = []
        self.body = b''
        self.is_complete = False
        self.error = ''

    def header(self, name):
        return Message('', self.headers, b'').header(name)


class Fleet:
    """The processes of a deployment, its list and its servers."""

    def __init__(self, record, controls=3, entries=2):
        self.record = record
        self.stack = contextlib.AsyncExitStack()
        self.folder = None
        self.network = find_network()
        self.controls = [f'{self.network}.{1 + n}' for n in range(controls)]
        self.entries = [f'{self.network}.{31 + n}' for n in range(entries)]
        self.servers = []
        self.processes = {}
        self.others = []
        self.bounds = dict(BOUNDS)
        self.entry_memory_mb = 150
        # Whether the platform's list answers 503 to all calls.
        self.list_is_down = False
        roles = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.commands = {n: r['run'] for n, r in roles['roles'].items()}

    async def __aenter__(self):
        folder = tempfile.TemporaryDirectory(prefix='case-')
        self.stack.callback(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.stack.callback(self.end_processes)
        listener = await asyncio.start_server(
            self.serve_list, f'{self.network}.250', LIST_PORT
        )
        self.stack.callback(listener.close)
        return self

    async def __aexit__(self, *exc_info):
        for server in self.servers:
            await server.stop()
        await self.stack.aclose()

    async def serve_list(self, reader, writer):
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, OSError
        ):
            while True:
                await read_message(reader)
                if self.list_is_down:
                    writer.write(encode('HTTP/1.1 503 Status', []))
                    await writer.drain()
                    continue
                body = {
                    'instances': [s.list_item() for s in self.servers],
                    'next': None,
                }
                headers = [('Content-Type', 'application/json')]
                data = json.dumps(body).encode()
                writer.write(encode('HTTP/1.1 200 OK', headers, data))
                await writer.drain()
        with contextlib.suppress(Exception):
            writer.close()

    async def add_server(self, service, stage=None, answer=answer_plain):
        server = Server(self, len(self.servers), service, stage)
        server.answer = answer
        await server.start()
        self.servers.append(server)
        return server

    async def add_hosts(
        self, service, groups, answer_bytes=0, events=1, gap_s=0.0
    ):
        """Adds servers that run in a process for each group; see ``hosts.py``.

        :param groups: the stages of the servers in each, None for plain ones
        :returns: the processes; each prints how many requests ran once its
            standard input is closed
        """
        processes = []
        for stages in groups:
            servers = []
            for stage in stages:
                number = len(self.servers)
                self.servers.append(Server(self, number, service, stage))
                servers.append([number, service, stage])
            order = {
                'network': self.network,
                'servers': servers,
                'answer_bytes': answer_bytes,
                'events': events,
                'gap_s': gap_s,
            }
            process = subprocess.Popen(
                [
                    sys.executable,
                    str(pathlib.Path(__file__).parent / 'hosts.py'),
                    json.dumps(order),
                ],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
                text=True,
            )
            self.others.append(process)
            if await asyncio.to_thread(process.stdout.readline) != 'ready\n':
                raise CouldNotRun('servers did not start')
            processes.append(process)
        return processes

    def settings(self, ip, bootstrap):
        is_control = ip in self.controls
        listen = {'control': f'{ip}:{CONTROL_PORT}'}
        if not is_control:
            listen = {
                'front': f'{ip}:{FRONT_PORT}',
                'ready': f'{ip}:{READY_PORT}',
                'directory': f'{ip}:{DIRECTORY_PORT}',
            }
        return {
            'nodeName': f'node-{ip}',
            'role': 'control' if is_control else 'entry',
            'machineClass': 'core' if is_control else 'edge',
            'serves': ['control'] if is_control else ['edge', 'directory'],
            'ip': ip,
            'zone': 'ke-central-a',
            'region': 'ke-central',
            'zones': {'ke-central-a': 'ke-central'},
            'listen': listen,
            'internalPorts': [LINK_PORT, LINK_PORT + 15],
            'seedNodes': [f'{c}:{CONTROL_PORT}' for c in self.controls[:3]],
            'bootstrap': bootstrap,
            'inTolerance': is_control,
            'limits': {
                'cpuShare': 0.645,
                'cpuCores': 1,
                'memoryMb': 296 if is_control else self.entry_memory_mb,
                'maxFds': 4096,
                'linkMbps': 1000.0,
                'diskMb': 128 if is_control else 0,
            },
            'dataDir': str(self.folder / f'data-{ip}') if is_control else None,
            'discovery': 'cloud_api',
            'entry': 'directory',
            'heartbeatMs': 1200,
            'contracts': [
                'base',
                'drain',
                'config',
                'cost',
                'retry',
                'recover',
                'split',
                'stream',
                'engine',
                'tenants',
                'quota',
            ],
            'faultTolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': self.bounds,
            'configMode': 'highest',
            'cloudApi': {
                'address': f'{self.network}.250:{LIST_PORT}',
                'ratePerS': 47.0,
                'duties': [],
                'lagMs': 800,
            },
        }

    def start(self, ip, bootstrap=True):
        """Starts a process with the command of the deploy file."""
        path = self.folder / f'{ip}.json'
        path.write_text(json.dumps(self.settings(ip, bootstrap)))
        role = 'control' if ip in self.controls else 'entry'
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['MASTICQUAY_CONFIG'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with (self.folder / f'{ip}.log').open('ab') as log:
            self.processes[ip] = subprocess.Popen(
                self.commands[role].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.record.add('start', ip)

    def signal(self, ip, number):
        self.record.add('signal', f'{ip} {signal.Signals(number).name}')
        self.processes[ip].send_signal(number)

    def end_processes(self):
        for process in [*self.processes.values(), *self.others]:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in [*self.processes.values(), *self.others]:
            process.wait()

    def resident_mb(self, ip):
        """Returns the memory that a process takes, 0 once it has ended."""
        pid = self.processes[ip].pid
        with contextlib.suppress(OSError, IndexError, StopIteration):
            lines = pathlib.Path(f'/proc/{pid}/status').read_text().split('\n')
            line = next(x for x in lines if x.startswith('VmRSS:'))
            return int(line.split()[1]) / 1024
        return 0.0

    async def keep_to_memory(self, ips, limit_mb, ends):
        """Ends processes that use more memory than the machine has.

        That is what the platform does. It starts them again a moment later.

        :param ends: gets the time of each end, by address
        """
        while True:
            for ip in ips:
                used_mb = self.resident_mb(ip)
                if used_mb <= limit_mb:
                    continue
                process = self.processes[ip]
                process.kill()
                await asyncio.to_thread(process.wait)
                ends.setdefault(ip, []).append(self.record.now_s())
                self.record.add(
                    'over memory',
                    f'{ip} used {used_mb:.0f} MB of {limit_mb} MB and is ended',
                )
                await asyncio.sleep(0.3)
                self.start(ip, bootstrap=False)
            await asyncio.sleep(0.1)

    def start_crowd(self, **order):
        """Starts a crowd of clients in a process; see ``crowd.py``."""
        process = subprocess.Popen(
            [
                sys.executable,
                str(pathlib.Path(__file__).parent / 'crowd.py'),
                json.dumps(order),
            ],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            stdin=subprocess.DEVNULL,
            text=True,
        )
        self.others.append(process)
        return process

    def log_lines(self, ip):
        return (self.folder / f'{ip}.log').read_text(errors='replace')

    async def start_all(self, config):
        """Starts all processes, and waits until requests can be served."""
        for ip in [*self.controls, *self.entries]:
            self.start(ip)
        await self.wait_for(lambda: self.put_config(config), 'a confirmation')
        for ip in self.entries:
            await self.wait_for(lambda ip=ip: self.is_ready(ip), f'{ip} ready')

    async def wait_for(self, condition, what, limit_s=30):
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise CouldNotRun(f'timed out waiting for {what}')

    async def is_ready(self, ip):
        answer = await call(ip, READY_PORT, 'GET', '/ready', [], b'', 1)
        return answer.status == 200

    async def find_leader(self):
        """Returns the control machine that reads are led to, or None."""
        for ip in self.controls:
            answer = await call(ip, CONTROL_PORT, 'GET', '/config', [], b'', 1)
            if answer.status == 200:
                return ip
        return None

    async def put_config(self, config):
        """Sends a configuration; returns whether it was confirmed."""
        body = json.dumps(config).encode()
        for ip in self.controls:
            for _ in range(3):
                answer = await call(
                    ip,
                    CONTROL_PORT,
                    'PUT',
                    '/config',
                    [('Content-Type', 'application/json')],
                    body,
                    3,
                )
                if answer.status != 307:
                    break
                location = answer.header('location')
                ip = location.split('/')[2].split(':')[0]
            if answer.status == 200:
                self.record.add('confirmed', f'version {config["version"]}')
                return True
        return False


async def call(
    ip, port, method, target, headers, body=b'', timeout_s=15, on_event=None
):
    """Sends a request on a new channel and reads the answer to its end."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            names = {name.lower() for name, _ in headers}
            if 'host' not in names:
                headers = [('Host', HOST), *headers]
            writer.write(encode(f'{method} {target} HTTP/1.1', headers, body))
            await writer.drain()
            await read_answer(reader, answer, on_event)
    except TimeoutError:
        answer.error = 'no answer in time'
    except asyncio.IncompleteReadError:
        answer.error = 'channel closed'
    except OSError as cause:
        answer.error = type(cause).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


async def read_answer(reader, answer, on_event=None):
    """Reads an answer; what has come stands in it also after an error."""
    first_line, answer.headers = await read_head(reader)
    answer.status = int(first_line.split(' ')[1])
    if 'chunked' not in answer.header('transfer-encoding').lower():
        size = int(answer.header('content-length') or 0)
        answer.body = await reader.readexactly(size)
        answer.is_complete = True
        return
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        piece = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            answer.is_complete = True
            return
        answer.body += piece
        if on_event is not None:
            on_event(piece)


def caller_headers(call_id, deadline_ms, **others):
    """Returns the headers of a client's request."""
    headers = [
        ('X-Masticquay-Request-Id', call_id),
        ('X-Masticquay-Deadline-Ms', str(deadline_ms)),
        ('Authorization', f'Bearer {KEY}'),
    ]
    return [*headers, *((n.replace('_', '-'), v) for n, v in others.items())]


def stream_headers(call_id, deadline_ms=14000, tokens='3200,71', **others):
    """Returns the headers of a client's model request."""
    part = f'{random.getrandbits(32):08x}'
    return caller_headers(
        call_id,
        deadline_ms,
        X_Masticquay_Model='m',
        X_Masticquay_Token_Usage=tokens,
        X_Masticquay_Prefix_Hash=f'5c1e07a2:200,{part}:3000',
        **others,
    )


def new_id():
    return f'{random.getrandbits(64):016x}'


def find_network():
    """Returns the first three octets of loopback addresses that are free."""
    for _ in range(50):
        network = f'127.{random.randint(90, 220)}.{random.randint(1, 250)}'
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind((f'{network}.250', LIST_PORT))
            return network
    raise CouldNotRun('no free loopback addresses')


def has_trouble():
    """Whether the case brings its disruption about."""
    return os.environ.get('TROUBLE', '1') != '0'


async def run_until_stopped(case):
    """Runs a case, in bounds, and ends it in order at SIGTERM or SIGINT."""
    task = asyncio.ensure_future(case)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, LIMIT_S)


def run_case(path, run, record_name='record.txt'):
    """Runs a case, which returns what broke the rule, and exits."""
    record = Record(pathlib.Path(path).resolve().parent / record_name)
    record.add('case', f'trouble: {has_trouble()}')
    status = EXIT_COULD_NOT_RUN
    try:
        broken = asyncio.run(run_until_stopped(run(record)))
        for text in broken:
            record.add('broken', text)
        status = EXIT_BROKEN if broken else EXIT_HELD
    except (Exception, asyncio.CancelledError) as cause:
        record.add('could not run', f'{type(cause).__name__}: {cause}')
    record.add('result', {0: 'held', 1: 'broken', 2: 'could not run'}[status])
    print(f'exit {status}')
    sys.exit(status)
