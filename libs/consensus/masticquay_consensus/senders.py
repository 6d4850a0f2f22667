"""Sender of a replica's requests to another member of the group."""

import contextlib
import threading

from masticquay_consensus import messages
from masticquay_consensus import protocols
from masticquay_consensus import replicas
from masticquay_consensus import settings as settings_module
from masticquay_wire import errors as wire_errors
from masticquay_wire import peers

# How long an idle sender waits for a request before it checks whether its
# member is still in the group.
IDLE_WAIT_MS = 1_000
# The delay after a request that got no answer.
RETRY_DELAY_MS = 50


class Sender:
    """Sends a replica's requests to a member, one at a time.

    :param closed: set when the replica closes
    """

    __slots__ = ('_replica', '_member', '_links', '_settings', '_closed')

    def __init__(
        self,
        replica: replicas.Replica,
        member: messages.Member,
        links: protocols.LinkFactory,
        settings: settings_module.Settings,
        closed: threading.Event,
    ):
        self._replica = replica
        self._member = member
        self._links = links
        self._settings = settings
        self._closed = closed

    def run(self) -> None:
        """Sends until the member is removed or its address changes."""
        with contextlib.ExitStack() as stack:
            link = self._links(peers.Address.parse(self._member.address))
            stack.callback(link.close)
            while self._is_current():
                self._send_next(link)

    def _send_next(self, link: peers.Peer) -> None:
        request = self._replica.wait_for_request(
            self._member.replica_id, IDLE_WAIT_MS
        )
        if request is None:
            return
        try:
            answer = link.call(request.message, self._settings.call_timeout_ms)
        except wire_errors.RemoteError as cause:
            # For example, the member's disk was replaced and the process
            # there has another identity. The next request waits a heartbeat
            # interval.
            self._replica.handle_failure(request, cause)
            self._closed.wait(self._settings.heartbeat_ms / 1000)
        except wire_errors.WireError:
            self._replica.handle_failure(request)
            self._closed.wait(RETRY_DELAY_MS / 1000)
        else:
            self._replica.handle_answer(request, answer)

    def _is_current(self) -> bool:
        """Whether the member is still in the group at the same address."""
        if self._closed.is_set():
            return False
        state = self._replica.state
        with state.lock:
            found = state.configuration.member(self._member.replica_id)
        return found is not None and found.address == self._member.address
