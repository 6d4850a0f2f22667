"""A fleet of real processes on its own loopback addresses."""

import contextlib
import http.client
import json
import pathlib
import secrets
import subprocess
import sys
import tempfile
import typing

import yaml

from masticquay_bench import deployments
from masticquay_bench import errors
from masticquay_bench import forwarders
from masticquay_bench import layouts
from masticquay_bench import observations
from masticquay_bench import processes
from masticquay_bench import standin_configs
from masticquay_bench import whole_answers
from masticquay_bundles import signatures

CONTROL_MODULE = 'masticquay_control.daemons'
ENTRY_MODULE = 'masticquay_entry.daemons'
STANDIN_MODULE = 'masticquay_standins.daemons'
OPERATOR_MODULE = 'masticquay_operator.commands'
COMMAND_TIMEOUT_S = 60
STANDIN_TIMEOUT_S = 5
KEY_PREFIX = 'test-key-'
APPROVERS = ('ana', 'ben')


class FleetSizes:
    """How many processes a fleet has, and the slots of each engine."""

    __slots__ = ('controls', 'entries', 'engines', 'services', 'engine_slots')

    def __init__(
        self,
        controls: int = 3,
        entries: int = 6,
        engines: int = 6,
        services: int = 3,
        engine_slots: int = 20,
    ):
        self.controls = controls
        self.entries = entries
        self.engines = engines
        self.services = services
        self.engine_slots = engine_slots


class Fleet:
    """Control hosts, entry hosts and stand-ins, run as real processes.

    A context manager: entering it starts all processes and rolls the first
    bundle, leaving it stops them and removes their files.

    :param seed: seed of the random choices of all processes
    :param engine_options: options of every engine stand-in
    :param rates: rate and burst by workspace, where they differ from those
        of the deployment
    :param forwarded: whether entry hosts reach control through TCP
        forwarders
    """

    def __init__(
        self,
        deployment: deployments.Deployment = deployments.KALAMU,
        sizes: FleetSizes | None = None,
        seed: int = 0,
        engine_options: dict[str, typing.Any] | None = None,
        rates: dict[str, tuple[int, int]] | None = None,
        forwarded: bool = False,
    ):
        self.deployment = deployment
        self.sizes = sizes or FleetSizes()
        self.layout = layouts.Layout()
        self.seed = seed
        self.bundle_version = 0
        self.controls: list[processes.Process] = []
        self.entries: list[processes.Process] = []
        self.engines: list[processes.Process] = []
        self.services: list[processes.Process] = []
        # Name of the workspace by key.
        self.keys: dict[str, str] = {}
        self._engine_options = engine_options or {}
        self._rates = rates or {}
        self._forwarded = forwarded
        self.forwarders: list[forwarders.Forwarder] = []
        self._stack = contextlib.ExitStack()
        self.folder = pathlib.Path()

    def __enter__(self) -> typing.Self:
        try:
            self._open()
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(self, *exception: typing.Any) -> None:
        self._stack.close()

    @property
    def record_folder(self) -> pathlib.Path:
        """The folder where the stand-ins write their journals."""
        return self.folder / 'records'

    @property
    def caller_addresses(self) -> list[str]:
        """The addresses where the entry hosts serve callers."""
        return [self.layout.caller(n) for n in range(self.sizes.entries)]

    def key_of_workspace(self, workspace: str, number: int = 0) -> str:
        """Returns a key of a workspace; each workspace has two."""
        keys = [k for k, name in self.keys.items() if name == workspace]
        return keys[number]

    def all_processes(self) -> list[processes.Process]:
        """Returns every process that was started."""
        return [
            *self.controls,
            *self.entries,
            *self.engines,
            *self.services,
            self._other_standins,
        ]

    def roll_bundle(
        self, edit: typing.Callable[[dict], None] | None = None
    ) -> dict[str, typing.Any]:
        """Makes the next bundle, signs it and rolls it.

        :param edit: changes the bundle's plain values before signing
        :returns: the report of the operator command
        :raises FleetError: when the roll failed
        """
        return self.roll_bundle_file(
            self.write_bundle(self.bundle_version + 1, edit)
        )

    def roll_bundle_file(self, path: pathlib.Path) -> dict[str, typing.Any]:
        """Rolls a signed bundle file; returns the report of the command."""
        report = self.run_operator_command('bundle', 'roll', str(path))
        self.bundle_version += 1
        return report

    def rates(self) -> list[observations.Rate]:
        """Returns the rate and burst of each workspace."""
        return [
            observations.Rate(
                w.name,
                *self._rates.get(
                    w.name, (w.rate_tokens_per_s, w.burst_tokens)
                ),
            )
            for w in self.deployment.workspaces
        ]

    def write_bundle(
        self,
        version: int,
        edit: typing.Callable[[dict], None] | None = None,
    ) -> pathlib.Path:
        """Writes a bundle file and signs it with every approver's key.

        :param edit: changes the bundle's plain values before signing
        :returns: the path of the file
        """
        bundle = deployments.make_bundle(
            self.deployment,
            self.layout,
            version,
            self.keys,
            self._approvers,
            self.sizes.engines,
            self.sizes.services,
            self.sizes.engine_slots,
        )
        for workspace, rate in zip(
            bundle['workspaces'], self.rates(), strict=True
        ):
            workspace['rate_tokens_per_s'] = rate.rate_tokens_per_s
            workspace['burst_tokens'] = rate.burst_tokens
        if edit is not None:
            edit(bundle)
        path = self.folder / f'bundle-{version}.yaml'
        path.write_text(yaml.safe_dump(bundle, sort_keys=False))
        for name in APPROVERS:
            self.run_operator_command(
                'bundle',
                'sign',
                str(path),
                f'--approver={name}',
                f'--private_key={self.folder / name}.pem',
            )
        return path

    def withdraw_key(self, key: str) -> dict[str, typing.Any]:
        """Withdraws a key and waits until the withdrawal is in force.

        :returns: the report of the operator command
        """
        return self.run_operator_command(
            'key', 'withdraw', signatures.digest_key(key)
        )

    def run_operator_command(self, *arguments: str) -> dict[str, typing.Any]:
        """Runs an operator command and returns its report.

        :raises FleetError: when the command failed
        """
        process = self.run_operator_process(*arguments)
        if process.returncode:
            raise errors.FleetError(
                f'command masticquay {" ".join(arguments)} exited with '
                f'{process.returncode}: {process.stderr.strip()[-600:]}'
            )
        return json.loads(process.stdout)

    def run_operator_process(
        self, *arguments: str
    ) -> subprocess.CompletedProcess:
        """Runs an operator command and returns its process after the exit."""
        control = [self.layout.control(n) for n in range(self.sizes.controls)]
        command = [
            sys.executable,
            '-m',
            OPERATOR_MODULE,
            f'--control={",".join(control)}',
            f'--secret_file={self.folder / "secret"}',
            '--format=json',
            *arguments,
        ]
        return subprocess.run(
            command,
            capture_output=True,
            text=True,
            stdin=subprocess.DEVNULL,
            timeout=COMMAND_TIMEOUT_S,
        )

    def set_faults(self, address: str, **faults: typing.Any) -> None:
        """Sets the faults that a stand-in simulates.

        :raises FleetError: when the stand-in refuses them
        """
        self._post(address, '/standin/faults', faults)

    def publish_platform_list(self, leaving: set[str] = frozenset()) -> None:
        """Replaces the platform's list of endpoints.

        :param leaving: names of the endpoints that are listed as leaving
        """
        hosts = standin_configs.make_platform_list(
            self.layout, self.sizes.engines, self.sizes.services, leaving
        )
        self._post(
            self.layout.other_standin(1), '/standin/hosts', {'hosts': hosts}
        )

    def make_control(self, number: int) -> processes.Process:
        """Returns a control process, not yet started; writes its settings."""
        place = self.deployment.places[number % len(self.deployment.places)]
        data_folder = self.folder / f'control-{number}'
        data_folder.mkdir(exist_ok=True)
        replicas = [
            {'name': f'control-{n}', 'address': self.layout.control(n)}
            for n in range(self.sizes.controls)
        ]
        settings = {
            'name': f'control-{number}',
            'place': place,
            'peer_address': self.layout.control(number),
            'data_folder': str(data_folder),
            'replicas': replicas,
            'secret_file': str(self.folder / 'secret'),
            'seed': self.seed + number,
        }
        return self._make_daemon(CONTROL_MODULE, settings)

    def make_entry(self, number: int) -> processes.Process:
        """Returns an entry process, not yet started; writes its settings."""
        place = self.deployment.places[number % len(self.deployment.places)]
        settings = {
            'name': f'entry-{number}',
            'place': place,
            'caller_address': self.layout.caller(number),
            'peer_address': self.layout.peer(number),
            'control': self._entry_control_addresses(),
            'secret_file': str(self.folder / 'secret'),
            'seed': self.seed + number,
        }
        return self._make_daemon(ENTRY_MODULE, settings)

    def _entry_control_addresses(self) -> list[str]:
        """Returns the addresses where entry hosts reach control."""
        if self._forwarded:
            return [forwarder.address for forwarder in self.forwarders]
        return [self.layout.control(n) for n in range(self.sizes.controls)]

    def _open_forwarders(self) -> None:
        for number in range(self.sizes.controls):
            forwarder = forwarders.Forwarder(
                self.layout.forwarder(number), self.layout.control(number)
            )
            self._stack.callback(forwarder.close)
            self.forwarders.append(forwarder)

    def _open(self) -> None:
        self.folder = pathlib.Path(
            self._stack.enter_context(
                tempfile.TemporaryDirectory(prefix='masticquay-')
            )
        )
        self._prepare_files()
        self._start_standins()
        if self._forwarded:
            self._open_forwarders()
        self.controls = [
            self.make_control(n) for n in range(self.sizes.controls)
        ]
        self.entries = [self.make_entry(n) for n in range(self.sizes.entries)]
        self._start_and_wait(self.controls)
        self._start_and_wait(self.entries)
        self.roll_bundle()

    def _prepare_files(self) -> None:
        """Writes the secret and the private keys; makes the API keys."""
        self.record_folder.mkdir()
        (self.folder / 'secret').write_text(secrets.token_hex(32))
        for workspace in self.deployment.workspaces:
            for _ in range(2):
                key = KEY_PREFIX + secrets.token_urlsafe(24)
                self.keys[key] = workspace.name
        self._approvers = {}
        for name in APPROVERS:
            key = signatures.generate_private_key()
            path = self.folder / f'{name}.pem'
            path.write_bytes(signatures.dump_private_key(key))
            self._approvers[name] = signatures.public_key_hex(key)

    def _start_standins(self) -> None:
        configs = standin_configs.make_standin_configs(
            self.deployment,
            self.layout,
            self.sizes.engines,
            self.sizes.services,
            {'slots': self.sizes.engine_slots, **self._engine_options},
            self.seed,
        )
        started = {
            name: self._make_standin(name, entries)
            for name, entries in configs.items()
        }
        self.engines = [
            started[f'engine-{n}'] for n in range(self.sizes.engines)
        ]
        self.services = [
            started[f'service-{n}'] for n in range(self.sizes.services)
        ]
        self._other_standins = started[standin_configs.OTHER_STANDINS]
        self._start_and_wait(list(started.values()))

    def _make_standin(
        self, name: str, entries: list[dict]
    ) -> processes.Process:
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump({'standins': entries}))
        return processes.Process(
            name,
            STANDIN_MODULE,
            [f'--config={path}', f'--record_folder={self.record_folder}'],
            self.folder / f'{name}.log',
        )

    def _make_daemon(
        self, module: str, settings: dict[str, typing.Any]
    ) -> processes.Process:
        name = settings['name']
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(settings))
        return processes.Process(
            name,
            module,
            [f'--settings={path}'],
            self.folder / f'{name}.log',
        )

    def _start_and_wait(self, members: list[processes.Process]) -> None:
        for process in members:
            self._stack.callback(process.close)
            process.start()
        # Exit callbacks run in reverse order: all processes get SIGTERM before
        # the first close() waits for one of them.
        self._stack.callback(_terminate_all, members)
        for process in members:
            process.wait_ready()

    def _post(self, address: str, path: str, body: dict) -> None:
        connection = http.client.HTTPConnection(
            address, timeout=STANDIN_TIMEOUT_S
        )
        try:
            connection.request('POST', path, json.dumps(body))
            response = connection.getresponse()
            whole_answers.require_length(response)
            response.read()
            if response.status != 200:
                raise errors.FleetError(
                    f'POST to {address}{path} returned status '
                    f'{response.status}'
                )
        finally:
            connection.close()


def _terminate_all(members: list[processes.Process]) -> None:
    for process in members:
        process.resume()
        process.terminate()
