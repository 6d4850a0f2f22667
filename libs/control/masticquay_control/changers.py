"""Changes of the control group that operators ask for."""

from concurrent import futures
import threading
import typing

from masticquay_consensus import errors as consensus_errors
from masticquay_consensus import protocols
from masticquay_control import leaderships
from masticquay_membership import messages as membership
from masticquay_membership import operator_messages
from masticquay_wire import errors as wire_errors

Key = tuple[str, str]
Begin = typing.Callable[[], futures.Future]


class ReplicaChanger:
    """Adds and removes replicas; a resend joins the change under way."""

    def __init__(self, log: protocols.ReplicatedLog):
        self._log = log
        self._lock = threading.RLock()
        self._running: dict[Key, futures.Future] = {}

    def add(self, message: operator_messages.AddReplica) -> futures.Future:
        """Adds a replica, or replaces one whose disk was lost."""
        key = (message.name, message.address)
        return self._start(
            key, lambda: self._log.add_replica(message.name, message.address)
        )

    def remove(
        self, message: operator_messages.RemoveReplica
    ) -> futures.Future:
        """Removes a replica."""
        return self._start(
            (message.name, ''), lambda: self._log.remove_replica(message.name)
        )

    def _start(self, key: Key, begin: Begin) -> futures.Future:
        with self._lock:
            running = self._running.get(key)
            if running is None:
                running = begin()
                self._running[key] = running
                running.add_done_callback(lambda done: self._forget(key))
        answer: futures.Future = futures.Future()
        running.add_done_callback(lambda done: self._settle(done, answer))
        return answer

    def _forget(self, key: Key) -> None:
        with self._lock:
            self._running.pop(key, None)

    def _settle(self, done: futures.Future, answer: futures.Future) -> None:
        cause = done.exception()
        if cause is None:
            answer.set_result(
                operator_messages.ReplicasChanged(list_replicas(self._log))
            )
        elif isinstance(cause, consensus_errors.ReplicaChangeError):
            answer.set_exception(
                wire_errors.RemoteError(
                    membership.CODE_REPLICA_CHANGE, str(cause)
                )
            )
        else:
            answer.set_exception(leaderships.turn_error(cause))


def list_replicas(
    log: protocols.ReplicatedLog,
) -> list[operator_messages.ReplicaStatus]:
    """Lists the members of the group as this replica sees them."""
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
