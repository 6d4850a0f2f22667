"""An open channel between an entry machine and control goes silent once."""

import json
import pathlib
import re
import selectors
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from common import harness  # noqa: E402

STREAMS_AT_ONCE = 10
# Prompts and answers as large as the site file allows.
TOKENS = '6600,170'
CALM_S = 6.0
# The channel goes silent when each of them has so many events left at most,
# which take 0.02 s each.
EVENTS_LEFT = 9
RECOVER_S = 12.0
MEASURED_S = 30.0
MAX_TRIES = 8
FOUND = re.compile(r'control leader found.*?"leader": "([^":]*)')


class Proxy:
    """Forwards channels, and can make the open ones silent for good."""

    def __init__(self, deployment, ip, target):
        self.target = target
        self.silent = []
        self.pairs = []
        self.listener = socket.create_server((ip, deployment.link_port))
        threading.Thread(target=self._accept, daemon=True).start()
        deployment.stack.callback(self.close)

    def close(self):
        self.listener.close()

    def silence(self):
        """Makes all open channels silent; new ones work."""
        self.silent.extend(self.pairs)
        return len(self.pairs)

    def _accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(self.target, 1.0)
            except OSError:
                near.close()
                continue
            far.settimeout(None)
            pair = (near, far)
            self.pairs.append(pair)
            threading.Thread(
                target=self._forward, args=(pair,), daemon=True
            ).start()

    def _forward(self, pair):
        near, far = pair
        selector = selectors.DefaultSelector()
        selector.register(near, selectors.EVENT_READ, far)
        selector.register(far, selectors.EVENT_READ, near)
        try:
            while True:
                for key, _ in selector.select(0.1):
                    if pair in self.silent:
                        # Neither end hears anything any more.
                        threading.Event().wait()
                    data = key.fileobj.recv(65536)
                    if not data:
                        return
                    key.data.sendall(data)
        except OSError:
            return
        finally:
            self.pairs.remove(pair)
            near.close()
            far.close()


def start_behind(deployment, ip, proxies):
    """Starts an entry machine whose channel to the leader is a proxy's.

    Its seeds are proxies, which all stand before the leader.

    :returns: the proxy that it uses
    """
    own_settings = deployment.settings

    def settings(machine, bootstrap):
        fields = own_settings(machine, bootstrap)
        if machine == ip:
            fields['seedNodes'] = [
                f'{proxy}:{deployment.control_port}' for proxy in proxies
            ]
        return fields

    deployment.settings = settings
    deployment.start(ip)
    found = harness.wait_for(
        lambda: FOUND.findall(deployment.log_of(ip)),
        10.0,
        'the entry machine to find the leader',
    )
    if found[-1] not in proxies:
        raise harness.NotRun('the entry machine uses no proxy')
    return proxies[found[-1]]


class Callers:
    def __init__(self, deployment):
        self.deployment = deployment
        self.statuses = {'model': [], 'plain': []}

    def stream(self, ip, into):
        call_id = harness.new_id('model')
        answer = self.deployment.stream(ip, call_id, tokens=TOKENS)
        self.deployment.record.write(
            f'{call_id} at {ip}: {answer.status}, {len(answer.body)} bytes, '
            f'Retry-After {answer.headers.get("retry-after")}'
        )
        into.append(answer.status)

    def plain(self, ip, into):
        call_id = harness.new_id('plain')
        answer = self.deployment.request(ip, harness.PLAIN + 'x', call_id)
        self.deployment.record.write(f'{call_id} at {ip}: {answer.status}')
        into.append(answer.status)

    def start(self, call, *args):
        thread = threading.Thread(target=call, args=args, daemon=True)
        thread.start()
        return thread


def are_nearly_done(deployment):
    left = [
        server.events - number
        for server in deployment.servers
        for call_id, number in server.progress.items()
        if call_id.startswith('model')
    ]
    return len(left) == STREAMS_AT_ONCE and max(left) <= EVENTS_LEFT


def play(stack, record):
    # Ten machines, one of which is disturbed (0.1).
    deployment = harness.Deployment(stack, record, controls=5, entries=5)
    for _ in range(3):
        deployment.add_server('ledger')
    for stage in ('prefill', 'decode', 'decode'):
        deployment.add_server('models', stage)
    for ip in deployment.controls:
        deployment.start(ip)
    for ip in deployment.entries[1:]:
        deployment.start(ip)
    if not deployment.put_config(harness.make_config()):
        raise harness.NotRun('the configuration was not acknowledged')
    leader = harness.wait_for(deployment.leader, 10.0, 'a leader')
    proxies = {}
    for number in range(3):
        ip = f'{deployment.network}.{201 + number}'
        target = (leader, deployment.link_port)
        proxies[ip] = Proxy(deployment, ip, target)
    behind = deployment.entries[0]
    proxy = start_behind(deployment, behind, proxies)
    deployment.wait_until_served()
    callers = Callers(deployment)
    time.sleep(CALM_S)
    for _ in range(MAX_TRIES):
        begun = []
        for server in deployment.servers:
            server.progress.clear()
        threads = [
            callers.start(callers.stream, behind, begun)
            for _ in range(STREAMS_AT_ONCE)
        ]
        try:
            harness.wait_for(
                lambda: are_nearly_done(deployment),
                4.0,
                'all streams to be nearly complete at once',
                pause_s=0.005,
            )
            break
        except harness.NotRun as cause:
            # One of them was refused or late; nothing is disturbed yet.
            record.write(str(cause))
        for thread in threads:
            thread.join()
    else:
        raise harness.NotRun('the streams never ran at once')
    if deployment.trouble:
        count = proxy.silence()
        record.write(
            f'channels of {behind} to the leader gone silent: {count}'
        )
    for thread in threads:
        thread.join()
    record.write(f'streams during it: {begun}')
    time.sleep(RECOVER_S)
    end_s = time.monotonic() + MEASURED_S
    threads = []
    while time.monotonic() < end_s:
        for ip in deployment.entries[:2]:
            for call, kind in (
                (callers.stream, 'model'),
                (callers.plain, 'plain'),
            ):
                into = callers.statuses[kind]
                threads.append(callers.start(call, ip, into))
        time.sleep(0.75)
    busy = sum(s.running for s in deployment.servers if s.stage == 'decode')
    record.write(f'requests that engines run now: {busy}')
    for thread in threads:
        thread.join()
    everything = sum(callers.statuses.values(), [])
    shares = {}
    for kind, statuses in [*callers.statuses.items(), ('all', everything)]:
        served = sum(status == 200 for status in statuses)
        shares[kind] = served / len(statuses)
        record.write(f'{kind}: {served} of {len(statuses)} served')
    for ip in deployment.controls:
        states = [
            line
            for line in deployment.log_of(ip).splitlines()
            if 'pool state' in line
        ]
        if states:
            state = json.loads(states[-1])
            record.write(
                f'{ip} logged last: running {state["running"]}, reserved '
                f'{state["decode_reserved_tokens"]}'
            )
    return shares['model'] >= shares['all'] / 4


if __name__ == '__main__':
    harness.main(__file__, play)
