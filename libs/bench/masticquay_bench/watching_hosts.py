"""A process of many small hosts that only hold sessions and watch.

Arguments: name prefix, count, file of the secret, addresses of control.
Prints ``ready`` as a JSON line once every host holds a lease; with SIGUSR1
it prints the bytes that its links have moved.
"""

import json
import pathlib
import signal
import sys
import threading
import time

from masticquay_membership import clients
from masticquay_membership import messages as membership
from masticquay_membership import sessions

POLL_S = 0.05


def start_sessions(
    prefix: str, count: int, secret: bytes, addresses: list[str]
) -> list[sessions.Session]:
    """Starts the sessions, spread over the replicas."""
    started = []
    for number in range(count):
        name = f'{prefix}-{number}'
        first = number % len(addresses)
        order = addresses[first:] + addresses[:first]
        client = clients.ControlClient(order, name, secret)
        host = membership.Host(name, 0, 'p1', '127.0.0.1:1', '127.0.0.1:2')
        session = sessions.Session(client, host, name, secret)
        session.start()
        started.append(session)
    return started


def count_bytes(started: list[sessions.Session]) -> int:
    """Returns the payload that the sessions' links have moved."""
    return sum(session.moved_bytes for session in started)


def main() -> int:
    """Runs until the process is ended."""
    prefix, count, secret_file, *addresses = sys.argv[1:]
    secret = pathlib.Path(secret_file).read_bytes().strip()
    threading.stack_size(256 * 1024)
    started = start_sessions(prefix, int(count), secret, addresses)
    signal.signal(
        signal.SIGUSR1,
        lambda *_: print(
            json.dumps({'moved_bytes': count_bytes(started)}), flush=True
        ),
    )
    while not all(session.lease_valid() for session in started):
        time.sleep(POLL_S)
    print(json.dumps({'message': 'ready'}), flush=True)
    while True:
        time.sleep(1)


if __name__ == '__main__':
    sys.exit(main())
