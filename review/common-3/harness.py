"""Starts a small deployment for the cases 11 to 15.

It uses the project's stand-ins for servers, platform, operator and callers
(``platform/tests``) and starts the daemons as ``deploy/system.toml`` says, with
the settings and bounds of the small site kalamu-quay.
"""

import contextlib
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
LIBS = sorted((ROOT / 'libs').iterdir())
for folder in [ROOT / 'platform', *LIBS, ROOT / 'target' / 'deps']:
    sys.path.append(str(folder))

from tests import documents  # noqa: E402
from tests import standins  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 110.0
# Bounds of the site kalamu-quay.
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


class Deployment(standins.Platform):
    """Runs the programs of the deploy file on loopback addresses."""

    def make_settings(self, ip, is_control, bootstrap):
        settings = super().make_settings(ip, is_control, bootstrap)
        settings.update(
            role='control' if is_control else 'entry',
            machineClass='core' if is_control else 'edge',
            region='r1',
            zones={'z1': 'r1'},
            inTolerance=is_control,
            limits={
                'cpuShare': 0.645 if is_control else 0.537,
                'cpuCores': 1 if is_control else 2,
                'memoryMb': 296 if is_control else 150,
                'maxFds': 4096,
                'linkMbps': 1000.0,
                'diskMb': 128 if is_control else 0,
            },
            heartbeatMs=1200,
            faultTolerance={'machines': 1, 'zones': 0, 'regions': 0},
            bounds=BOUNDS,
        )
        return settings

    def start(self, ip, bootstrap=True):
        """Starts the daemon at an address with the deploy file's command."""
        is_control = ip in self.controls
        path = self.folder / f'{ip}.json'
        path.write_text(
            json.dumps(self.make_settings(ip, is_control, bootstrap))
        )
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        role = deploy['roles']['control' if is_control else 'entry']
        log = self.open_log(ip)
        self.started_s[ip].append(time.monotonic())
        self.processes[ip] = subprocess.Popen(
            role['run'].split(),
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'PYTHONPATH': os.pathsep.join(
                    [*self.extra_folders, str(ROOT / 'target' / 'deps')]
                ),
                'MASTICQUAY_CONFIG': str(path),
            },
            stdout=log,
            stderr=log,
        )


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self.started_s = time.monotonic()
        self.lock = threading.Lock()
        self.file = (folder / 'record.txt').open('w')

    def write(self, text):
        with self.lock:
            self.file.write(
                f'{time.monotonic() - self.started_s:8.3f} {text}\n'
            )
            self.file.flush()


def run(folder, network, play, **hosts):
    """Plays a case and ends the process with its result.

    :param play: called with the stack, the deployment and the record; returns
        whether the rule held
    """
    folder = pathlib.Path(folder)
    record = Record(folder)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record.write(f'disruption: {has_trouble}')
    result = NOT_RUN
    watchdog = threading.Timer(LIMIT_S, end, [record, None])
    watchdog.daemon = True
    with contextlib.ExitStack() as stack:
        try:
            data = stack.enter_context(tempfile.TemporaryDirectory())
            deployment = Deployment(stack, data, network=network, **hosts)
            watchdog.args[1] = deployment
            watchdog.start()
            signal.signal(signal.SIGTERM, lambda *_: end(record, deployment))
            held = play(stack, deployment, record, has_trouble)
            result = HELD if held else BROKEN
        except Exception as cause:
            record.write(f'could not run: {type(cause).__name__}')
            if 'deployment' in locals():
                keep_logs(deployment, record)
    record.write(f'result: {result}')
    print(f'result: {result}', flush=True)
    sys.stdout.flush()
    os._exit(result)


def end(record, deployment):
    record.write('ended before the result')
    deployment.kill_all()
    shutil.rmtree(deployment.folder, ignore_errors=True)
    os._exit(NOT_RUN)


def keep_logs(deployment, record):
    for path in sorted(deployment.folder.glob('*.log')):
        for line in path.read_text().splitlines()[-5:]:
            # No path of the machine goes into the record.
            line = line.replace(str(ROOT), '.').replace(sys.prefix, '')
            record.write(f'{path.name}: {line}')


def make_config(routes, services, **fields):
    """Returns a configuration as an operator sends it."""
    config = dict(documents.CONFIG)
    config.update(routes=routes, services=services, **fields)
    return json.dumps(config).encode()
