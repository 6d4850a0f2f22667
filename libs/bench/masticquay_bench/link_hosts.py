"""A process that answers calls over links, for the bench of links."""

import json
import signal
import sys
import threading

from masticquay_wire import listeners
from masticquay_wire import messages
from masticquay_wire import peers

SECRET = b'bench'


@messages.register
class EchoBytes(messages.Message):
    """Asks for its data again."""

    __slots__ = ('data',)

    def __init__(self, data: bytes):
        self.data = data


def run() -> None:
    """Answers until SIGTERM: ADDRESS, COMPRESSION or ``none``."""
    address, compression = sys.argv[1:]
    ended = threading.Event()
    signal.signal(signal.SIGTERM, lambda number, frame: ended.set())
    listener = listeners.Listener(
        peers.Address.parse(address),
        'link-host',
        SECRET,
        None if compression == 'none' else compression,
    )
    listener.handle(EchoBytes, lambda message, link: message)
    listener.start()
    print(json.dumps({'message': 'ready'}), flush=True)
    ended.wait()
    listener.close()


if __name__ == '__main__':
    run()
