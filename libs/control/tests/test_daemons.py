"""Tests with real processes: the daemon and a host."""

import json
import os
import pathlib
import queue
import signal
import subprocess
import sys
import threading
import unittest

import yaml

from masticquay_membership import operator_messages
from tests import fixtures

FOLDER = pathlib.Path(__file__).parent
DAEMON = [sys.executable, '-m', 'masticquay_control.daemons']
EXIT_SETTINGS = 78


class DaemonTest(unittest.TestCase):
    def setUp(self):
        self.cluster = fixtures.Cluster(self)
        self.secret_file = self.cluster.folder / 'secret'
        self.secret_file.write_bytes(fixtures.SECRET)
        self.cluster.ports['c1'] = fixtures.find_free_port(self.cluster.ip)
        address = self.cluster.address_of('c1')
        self.settings = {
            'name': 'c1',
            'place': 'p1',
            'peer_address': address,
            'data_folder': str(self.cluster.folder / 'data'),
            'replicas': [{'name': 'c1', 'address': address}],
            'secret_file': str(self.secret_file),
        }

    def write_settings(self, **changes):
        path = self.cluster.folder / 'control.yaml'
        path.write_text(yaml.safe_dump({**self.settings, **changes}))
        return f'--settings={path}'

    def start(self, *command):
        process = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            cwd=FOLDER.parent,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def start_daemon(self):
        return self.start(*DAEMON, self.write_settings())

    def test_settings_faults_are_listed_with_their_lines(self):
        option = self.write_settings(place=7, colour='red')
        done = subprocess.run(
            [*DAEMON, option, '--check'], capture_output=True, text=True
        )
        self.assertEqual(EXIT_SETTINGS, done.returncode)
        self.assertRegex(done.stderr, r'control.yaml:\d+: place: ')
        self.assertRegex(done.stderr, r'control.yaml:\d+: colour: unknown key')

    def test_killed_twice_and_restarted_keeps_what_it_answered(self):
        approvers = fixtures.Approvers('ada')
        operator = self.cluster.client()
        previous = None
        for version in (1, 2):
            daemon = self.start_daemon()
            signed = approvers.sign(fixtures.make_bundle(version, approvers))
            operator.call(fixtures.make_roll(signed, previous), 20_000)
            daemon.kill()
            daemon.wait()
            previous = signed.bundle
        daemon = self.start_daemon()
        stored = operator.call(operator_messages.QueryBundle(), 20_000)
        self.assertEqual(signed, stored)
        daemon.terminate()
        self.assertEqual(0, daemon.wait(10))

    def test_host_paused_past_its_lease_does_not_use_its_old_rights(self):
        self.start_daemon()
        watcher = self.cluster.session('watcher')
        host = self.start(
            sys.executable,
            str(FOLDER / 'host_process.py'),
            'paused',
            str(self.secret_file),
            self.cluster.address_of('c1'),
        )
        lines = queue.Queue()
        threading.Thread(
            target=lambda: [lines.put(line) for line in host.stdout],
            daemon=True,
        ).start()
        first = self.read_until(lines, lambda seen: seen['valid'])
        fixtures.wait_for(lambda: watcher.state().view.host('paused'))
        os.kill(host.pid, signal.SIGSTOP)
        fixtures.wait_for(lambda: not watcher.state().view.host('paused'))
        os.kill(host.pid, signal.SIGCONT)
        resumed = self.read_until(lines, lambda seen: seen['paused'])
        old_rights = resumed['valid'] and (
            resumed['incarnation'] == first['incarnation']
        )
        self.assertFalse(old_rights)
        again = self.read_until(lines, lambda seen: seen['valid'])
        self.assertGreater(again['incarnation'], first['incarnation'])

    def read_until(self, lines, wanted):
        while True:
            seen = json.loads(lines.get(timeout=fixtures.WAIT_S))
            if wanted(seen):
                return seen
