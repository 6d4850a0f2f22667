"""Control replicas and watching hosts as processes, for measurements."""

import contextlib
import json
import pathlib
import secrets
import signal
import tempfile
import time
import typing

import yaml

from masticquay_bench import errors
from masticquay_bench import layouts
from masticquay_bench import processes
from masticquay_bundles import models
from masticquay_bundles import signatures
from masticquay_membership import clients
from masticquay_membership import messages as membership
from masticquay_membership import operator_messages
from masticquay_membership import sessions
from masticquay_wire import messages

CONTROL_MODULE = 'masticquay_control.daemons'
HOSTS_MODULE = 'masticquay_bench.watching_hosts'
HOSTS_PER_PROCESS = 10
CALL_TIMEOUT_MS = 15_000
POLL_S = 0.005
WAIT_S = 30
APPROVER = 'ada'
KEY_COUNT = 200


class Group:
    """Three control replicas and a number of hosts; a context manager."""

    def __init__(self, hosts: int, replicas: int = 3):
        self._hosts = hosts
        self._stack = contextlib.ExitStack()
        self._layout = layouts.Layout()
        self.addresses = [self._layout.control(n) for n in range(replicas)]
        self.secret = secrets.token_hex(32).encode()
        self._key = signatures.generate_private_key()
        self._bundle: models.Bundle | None = None
        self._withdrawn = 0
        self.controls: list[processes.Process] = []
        self.host_processes: list[processes.Process] = []

    def __enter__(self) -> typing.Self:
        with contextlib.ExitStack() as stack:
            self._folder = pathlib.Path(
                stack.enter_context(tempfile.TemporaryDirectory())
            )
            (self._folder / 'secret').write_bytes(self.secret)
            self.controls = [
                self._make_control(n) for n in range(len(self.addresses))
            ]
            for control in self.controls:
                control.start()
                stack.callback(control.close)
            for control in self.controls:
                control.wait_ready()
            self.client = clients.ControlClient(
                self.addresses, 'bench', self.secret
            )
            stack.callback(self.client.close)
            self._stack = stack.pop_all()
        with contextlib.ExitStack() as stack:
            stack.push(self._stack)
            self.roll()
            self._start_hosts()
            stack.pop_all()
        return self

    def __exit__(self, *exception: typing.Any) -> None:
        self._stack.close()

    def start_host(self, prefix: str, count: int = 1) -> processes.Process:
        """Starts a process of hosts and waits for their leases."""
        host = processes.Process(
            prefix,
            HOSTS_MODULE,
            [
                prefix,
                str(count),
                str(self._folder / 'secret'),
                *self.addresses,
            ],
            self._folder / f'{prefix}.log',
        )
        host.start()
        self._stack.callback(host.kill)
        host.wait_ready()
        return host

    def start_session(self, name: str) -> sessions.Session:
        """Starts a host in this process."""
        host = membership.Host(name, 0, 'p1', '127.0.0.1:1', '127.0.0.1:2')
        session = sessions.Session(self.client, host, name, self.secret)
        session.start()
        self._stack.callback(session.close)
        wait_until(session.lease_valid)
        return session

    def call(self, message: messages.Message) -> typing.Any:
        """Calls control."""
        return self.client.call(message, CALL_TIMEOUT_MS)

    def roll(self) -> int:
        """Rolls the next bundle; returns its index."""
        previous = self._bundle
        version = previous.version + 1 if previous else 1
        bundle = self._make_bundle(version)
        signed = models.SignedBundle(
            bundle, [signatures.sign_bundle(bundle, APPROVER, self._key)]
        )
        roll = operator_messages.RollBundle(signed, 0, b'')
        if previous is not None:
            digest = signatures.digest_bundle(previous)
            roll = operator_messages.RollBundle(
                signed, previous.version, digest
            )
        answer = self.call(roll)
        self._bundle = bundle
        return answer.index

    def withdraw(self) -> int:
        """Withdraws the next key; returns the index."""
        digest = self._bundle.keys[self._withdrawn].digest
        self._withdrawn += 1
        return self.call(operator_messages.WithdrawKey(digest)).index

    def wait_in_force(self, index: int) -> operator_messages.Progress:
        """Waits until a change is in force."""
        query = operator_messages.QueryProgress(index)
        return wait_until(lambda: self._in_force(query))

    def _in_force(
        self, query: operator_messages.QueryProgress
    ) -> operator_messages.Progress | None:
        progress = self.call(query)
        return progress if progress.in_force else None

    def leader(self) -> processes.Process:
        """Returns the process of the leader."""
        status = wait_until(lambda: self.call(operator_messages.QueryStatus()))
        names = [r.name for r in status.replicas if r.role == 'leader']
        return next(c for c in self.controls if c.name in names)

    def moved_bytes(self) -> int:
        """Returns the payload that all hosts' links have moved."""
        counts = [len(_read_counts(host)) for host in self.host_processes]
        for host in self.host_processes:
            host.send(signal.SIGUSR1)
        for host, count in zip(self.host_processes, counts, strict=True):
            wait_until(
                lambda host=host, count=count: len(_read_counts(host)) > count
            )
        return sum(_read_counts(host)[-1] for host in self.host_processes)

    def _start_hosts(self) -> None:
        left = self._hosts
        while left > 0:
            count = min(left, HOSTS_PER_PROCESS)
            prefix = f'hosts{len(self.host_processes)}'
            self.host_processes.append(self.start_host(prefix, count))
            left -= count

    def _make_control(self, number: int) -> processes.Process:
        name = f'c{number}'
        settings = {
            'name': name,
            'place': 'p1',
            'peer_address': self.addresses[number],
            'data_folder': str(self._folder / name),
            'replicas': [
                {'name': f'c{n}', 'address': address}
                for n, address in enumerate(self.addresses)
            ],
            'secret_file': str(self._folder / 'secret'),
        }
        path = self._folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(settings))
        return processes.Process(
            name,
            CONTROL_MODULE,
            [f'--settings={path}'],
            self._folder / f'{name}.log',
        )

    def _make_bundle(self, version: int) -> models.Bundle:
        """Makes a bundle of about the size of the target's."""
        return models.Bundle(
            version,
            1,
            [models.Approver(APPROVER, signatures.public_key_hex(self._key))],
            [models.Place('p1', 'r1')],
            [models.Workspace(f'w{n}', 1_000, 9_000) for n in range(220)],
            [
                models.Key(signatures.digest_key(f'key {n}'), f'w{n}')
                for n in range(KEY_COUNT)
            ],
            [models.ServiceClass('calm', 'standard', 490, 35, 9_000, 900)],
            [],
            ['jobs'],
            [
                models.Route(
                    '/jobs', ['POST'], 'keyed', True, ['calm'], service='jobs'
                )
            ],
            [
                models.Endpoint(
                    f'e{n}',
                    'service',
                    f'127.0.{n // 250}.{n % 250 + 1}:1',
                    'p1',
                    20,
                    service='jobs',
                )
                for n in range(600)
            ],
        )


def private_bytes(process: processes.Process) -> int:
    """Returns the memory that a process shares with no other."""
    text = pathlib.Path(f'/proc/{process.pid}/smaps_rollup').read_text()
    return sum(
        int(line.split()[1]) * 1024
        for line in text.splitlines()
        if line.startswith('Private_')
    )


def _read_counts(host: processes.Process) -> list[int]:
    """Returns the byte counts that a process of hosts has printed."""
    lines = host.log_path.read_text().splitlines()
    return [
        json.loads(line)['moved_bytes']
        for line in lines
        if line.startswith('{"moved_bytes"')
    ]


def wait_until(
    condition: typing.Callable[[], typing.Any], limit_s: float = WAIT_S
) -> typing.Any:
    """Returns the first true value of a condition.

    :raises FleetError: when it did not come about
    """
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise errors.FleetError('a condition did not come about')
