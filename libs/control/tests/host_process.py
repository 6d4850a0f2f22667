"""A host in a process of its own: prints its lease whenever it changes.

Arguments: name, file of the secret, addresses of control.
"""

import json
import pathlib
import sys
import time

from masticquay_membership import clients
from masticquay_membership import messages as membership
from masticquay_membership import sessions

LOOP_S = 0.005
PAUSED_S = 2.0


def main():
    name, secret_file, *addresses = sys.argv[1:]
    secret = pathlib.Path(secret_file).read_bytes().strip()
    host = membership.Host(name, 0, 'p1', '127.0.0.1:1', '127.0.0.1:2')
    client = clients.ControlClient(addresses, name, secret)
    session = sessions.Session(client, host, name, secret)
    session.start()
    last = None
    checked_s = time.monotonic()
    while True:
        before = session.host.incarnation
        paused = time.monotonic() - checked_s > PAUSED_S
        valid = session.lease_valid()
        checked_s = time.monotonic()
        same = session.host.incarnation == before
        seen = {'incarnation': before, 'valid': valid}
        if same and (paused or seen != last):
            print(json.dumps({**seen, 'paused': paused}), flush=True)
            last = seen
        time.sleep(LOOP_S)


if __name__ == '__main__':
    main()
