"""Links between replicas that a test can cut, silently and by direction."""

from concurrent import futures
import threading

from masticquay_wire import dialers
from masticquay_wire import errors
from tests import fixtures


class Network:
    """Knows which replicas cannot reach which others."""

    def __init__(self):
        self._cut = set()

    def cut(self, sender, receiver):
        """Drops what a replica sends to an address."""
        self._cut.add((sender, receiver))

    def heal(self):
        self._cut.clear()

    def is_cut(self, sender, receiver):
        return (sender, receiver) in self._cut

    def links_of(self, name, own_address):
        """Returns the link factory of a replica."""
        return lambda address: CutPeer(self, name, own_address, address)


class CutPeer:
    """A link whose calls time out while one of its directions is cut."""

    def __init__(self, network, name, own_address, address):
        self._network = network
        self._own = own_address
        self._address = str(address)
        self._peer = dialers.WebsocketPeer(address, name, fixtures.SECRET)

    def submit(self, message, timeout_ms):
        answer = futures.Future()
        if self._network.is_cut(self._own, self._address):
            self._expire(answer, timeout_ms)
            return answer
        pending = self._peer.submit(message, timeout_ms)
        pending.add_done_callback(
            lambda done: self._pass_on(done, answer, timeout_ms)
        )
        return answer

    def call(self, message, timeout_ms):
        return self.submit(message, timeout_ms).result()

    def notify(self, message):
        self._peer.notify(message)

    def close(self):
        self._peer.close()

    def _pass_on(self, done, answer, timeout_ms):
        if self._network.is_cut(self._address, self._own):
            self._expire(answer, timeout_ms)
        elif done.exception() is not None:
            answer.set_exception(done.exception())
        else:
            answer.set_result(done.result())

    def _expire(self, answer, timeout_ms):
        error = errors.CallTimeoutError('cut')
        timer = threading.Timer(
            timeout_ms / 1000, answer.set_exception, [error]
        )
        timer.daemon = True
        timer.start()
