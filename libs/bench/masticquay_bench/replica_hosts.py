"""A process with one replica of the log and a small state machine."""

from concurrent import futures
import json
import pathlib
import random
import signal
import sys
import threading

from masticquay_consensus import errors as consensus_errors
from masticquay_consensus import nodes
from masticquay_wire import clocks
from masticquay_wire import dialers
from masticquay_wire import errors as wire_errors
from masticquay_wire import listeners
from masticquay_wire import messages
from masticquay_wire import peers

SECRET = b'bench'
COUNT_BYTES = 8


@messages.register
class ProposeCommand(messages.Message):
    """Proposes a command; answered once it is committed and applied."""

    __slots__ = ('command',)

    def __init__(self, command: bytes):
        self.command = command


@messages.register
class QueryMeters(messages.Message):
    """Asks for the replica's state and traffic."""

    __slots__ = ()

    def __init__(self) -> None:
        pass


@messages.register
class Meters(messages.Message):
    """The answer to QueryMeters.

    :param sent_bytes: frames sent over the links that this replica dialled
    """

    __slots__ = (
        'leading',
        'term',
        'applied_index',
        'sent_bytes',
        'received_bytes',
        'sent_frames',
        'received_frames',
        'snapshots_installed',
    )

    def __init__(
        self,
        leading: bool,
        term: int,
        applied_index: int,
        sent_bytes: int,
        received_bytes: int,
        sent_frames: int,
        received_frames: int,
        snapshots_installed: int,
    ):
        self.leading = leading
        self.term = term
        self.applied_index = applied_index
        self.sent_bytes = sent_bytes
        self.received_bytes = received_bytes
        self.sent_frames = sent_frames
        self.received_frames = received_frames
        self.snapshots_installed = snapshots_installed


class Register:
    """A state machine that keeps the count and the last command."""

    def __init__(self) -> None:
        self._count = 0
        self._last = b''

    def apply(self, index: int, command: bytes) -> bytes:
        """Keeps a command."""
        self._count += 1
        self._last = command
        return b''

    def snapshot(self) -> bytes:
        """Returns the count and the last command."""
        return self._count.to_bytes(COUNT_BYTES, 'big') + self._last

    def restore(self, data: bytes, index: int) -> None:
        """Takes the count and the last command."""
        self._count = int.from_bytes(data[:COUNT_BYTES], 'big')
        self._last = data[COUNT_BYTES:]


class ReplicaHost:
    """Owns a listener and a node, and answers the bench."""

    def __init__(self, name: str, voters: dict[str, str], folder: str):
        self._name = name
        self._links: list[dialers.WebsocketPeer] = []
        address = peers.Address.parse(voters[name])
        self.listener = listeners.Listener(address, name, SECRET)
        self.listener.handle(ProposeCommand, self._propose)
        self.listener.handle(QueryMeters, self._report)
        self.node = nodes.Node(
            name,
            voters[name],
            [nodes.Voter(n, a) for n, a in voters.items()],
            pathlib.Path(folder) / name,
            self.listener,
            Register(),
            SECRET,
            clocks.MonotonicClock(),
            random.Random(name),
            links=self._dial,
        )

    def _dial(self, address: peers.Address) -> dialers.WebsocketPeer:
        link = dialers.WebsocketPeer(address, self._name, SECRET)
        self._links.append(link)
        return link

    def _propose(
        self, message: ProposeCommand, link: peers.Connection
    ) -> peers.Answer:
        answer: peers.Answer = futures.Future()
        proposal = self.node.propose(message.command)
        proposal.add_done_callback(lambda done: _answer(done, answer))
        return answer

    def _report(self, message: QueryMeters, link: peers.Connection) -> Meters:
        counters = [link.counters() for link in list(self._links)]
        status = self.node.status()
        return Meters(
            self.node.is_leader(),
            status.term,
            status.applied_index,
            sum(c.sent_bytes for c in counters),
            sum(c.received_bytes for c in counters),
            sum(c.sent_frames for c in counters),
            sum(c.received_frames for c in counters),
            self.node.counters().snapshots_installed,
        )


def _answer(done: futures.Future, answer: futures.Future) -> None:
    error = done.exception()
    if error is None:
        answer.set_result(messages.Done())
    elif isinstance(error, consensus_errors.NotLeaderError):
        answer.set_exception(wire_errors.RemoteError('not-leader', ''))
    else:
        answer.set_exception(wire_errors.RemoteError('unknown', str(error)))


def run() -> None:
    """Runs a replica until SIGTERM: NAME, FOLDER, NAME=ADDRESS..."""
    name, folder, *voters = sys.argv[1:]
    ended = threading.Event()
    signal.signal(signal.SIGTERM, lambda number, frame: ended.set())
    host = ReplicaHost(name, dict(v.split('=') for v in voters), folder)
    host.node.start()
    host.listener.start()
    print(json.dumps({'message': 'ready'}), flush=True)
    ended.wait()
    host.listener.close()
    host.node.close()


if __name__ == '__main__':
    run()
