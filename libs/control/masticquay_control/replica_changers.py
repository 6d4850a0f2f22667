"""Changes of the replicas that form the control group."""

from concurrent import futures
import threading
import typing

from masticquay_consensus import errors as consensus_errors
from masticquay_consensus import protocols
from masticquay_control import leaderships
from masticquay_membership import messages as membership_messages
from masticquay_membership import operator_messages
from masticquay_wire import errors as wire_errors

ChangeKey = tuple[str, str]
StartChange = typing.Callable[[], futures.Future]


class ReplicaChanger:
    """Adds and removes replicas.

    A resend of a request joins the change that is already running.
    """

    def __init__(self, log: protocols.ReplicatedLog):
        self._log = log
        self._lock = threading.RLock()
        self._running: dict[ChangeKey, futures.Future] = {}

    def add(self, message: operator_messages.AddReplica) -> futures.Future:
        """Adds a replica, or replaces one that lost its disk.

        :returns: a future of ReplicasChanged, which fails with a RemoteError
        """
        key = (message.name, message.address)
        return self._start(
            key, lambda: self._log.add_replica(message.name, message.address)
        )

    def remove(
        self, message: operator_messages.RemoveReplica
    ) -> futures.Future:
        """Removes a replica.

        :returns: a future of ReplicasChanged, which fails with a RemoteError
        """
        return self._start(
            (message.name, ''), lambda: self._log.remove_replica(message.name)
        )

    def _start(
        self, key: ChangeKey, start_change: StartChange
    ) -> futures.Future:
        with self._lock:
            running = self._running.get(key)
            if running is None:
                running = start_change()
                self._running[key] = running
                running.add_done_callback(
                    lambda done: self._clear_running(key)
                )
        reply: futures.Future = futures.Future()
        running.add_done_callback(lambda done: self._set_reply(done, reply))
        return reply

    def _clear_running(self, key: ChangeKey) -> None:
        with self._lock:
            self._running.pop(key, None)

    def _set_reply(self, done: futures.Future, reply: futures.Future) -> None:
        cause = done.exception()
        if cause is None:
            reply.set_result(
                operator_messages.ReplicasChanged(list_replicas(self._log))
            )
        elif isinstance(cause, consensus_errors.ReplicaChangeError):
            reply.set_exception(
                wire_errors.RemoteError(
                    membership_messages.CODE_REPLICA_CHANGE, str(cause)
                )
            )
        else:
            reply.set_exception(leaderships.to_remote_error(cause))


def list_replicas(
    log: protocols.ReplicatedLog,
) -> list[operator_messages.ReplicaStatus]:
    """Returns the status of the group's replicas as this replica sees it."""
    status = log.status()
    return [
        operator_messages.ReplicaStatus(
            replica.member.name,
            replica.role,
            status.term,
            replica.match_index,
            replica.member.address,
        )
        for replica in status.members
    ]
