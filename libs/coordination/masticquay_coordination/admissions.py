"""Requests for placements that come before the first list of endpoints.

A leader that has no list yet knows of no engine, which does not mean that
there is none.
"""

from concurrent import futures
import logging
import threading

from masticquay_coordination import owners
from masticquay_routing import messages
from masticquay_routing import placement_messages
from masticquay_routing import queued_requests
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages as wire_messages

LOG = logging.getLogger(__name__)

# From the beginning of a term. The first list usually comes within a tenth of
# it; later, hosts place requests by the lists that they have.
LIST_WAIT_MS = 500


class _Waiting:
    """A request that waits for the first list."""

    __slots__ = ('request', 'since_ms', 'future')

    def __init__(self, request: placement_messages.Admit, since_ms: int):
        self.request = request
        self.since_ms = since_ms
        self.future: futures.Future = futures.Future()
        self.future.set_running_or_notify_cancel()


class Admissions:
    """Passes requests to the owner once it knows the endpoints.

    Without a list in time, a request is charged here and placed by its host.
    """

    def __init__(self, owner: owners.Owner, clock: clocks.Clock):
        self._owner = owner
        self._clock = clock
        self._lock = threading.Lock()
        self._has_list = False
        self._due_ms = clock.now_ms() + LIST_WAIT_MS
        self._waiting: dict[queued_requests.RequestKey, _Waiting] = {}

    def admit(
        self, request: placement_messages.Admit
    ) -> wire_messages.Message | futures.Future:
        """Queues a request, or refuses it; see ``Owner.admit``.

        :raises RemoteError: if its host is to place it
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            if not self._has_list and now_ms < self._due_ms:
                waiting = _Waiting(request, now_ms)
                self._waiting[(request.host, request.number)] = waiting
                return waiting.future
            has_list = self._has_list
        if has_list:
            return self._owner.admit(request)
        return self._leave_to_host(request)

    def begin(self) -> None:
        """Admits the waiting requests, as there is a list now."""
        with self._lock:
            if self._has_list:
                return
            self._has_list = True
            waiting = self._take_all()
        now_ms = self._clock.now_ms()
        for early in waiting:
            _shorten_waits(early.request, now_ms - early.since_ms)
            answer = self._owner.admit(early.request)
            if isinstance(answer, futures.Future):
                answer.add_done_callback(
                    lambda done, future=early.future: _copy(done, future)
                )
            else:
                early.future.set_result(answer)

    def expire(self) -> None:
        """Leaves the waiting requests to their hosts if no list has come."""
        with self._lock:
            if not self._waiting or self._clock.now_ms() < self._due_ms:
                return
            waiting = self._take_all()
        LOG.warning(
            'no endpoint list in time', extra={'requests': len(waiting)}
        )
        for early in waiting:
            try:
                early.future.set_result(self._leave_to_host(early.request))
            except wire_errors.RemoteError as cause:
                early.future.set_exception(cause)

    def finish(self, finished: placement_messages.Finished) -> None:
        """Ends a request, which may still wait."""
        with self._lock:
            early = self._waiting.pop((finished.host, finished.number), None)
        if early is not None:
            early.future.set_result(
                placement_messages.Refused('caller left', 0)
            )
        self._owner.finish(finished)

    def release_host(self, host: str) -> None:
        """Drops all requests of a host that restarted or lost its session."""
        with self._lock:
            lost = [key for key in self._waiting if key[0] == host]
            waiting = [self._waiting.pop(key) for key in lost]
        for early in waiting:
            early.future.set_result(placement_messages.Refused('host lost', 0))
        self._owner.release_host(host)

    def fail_all(self) -> None:
        """Fails all waiting requests at the end of the term."""
        with self._lock:
            waiting = self._take_all()
        for early in waiting:
            early.future.set_exception(
                wire_errors.RemoteError(messages.CODE_NOT_LEADER, '')
            )
        self._owner.fail_all()

    def _take_all(self) -> list[_Waiting]:
        waiting = list(self._waiting.values())
        self._waiting.clear()
        return waiting

    def _leave_to_host(
        self, request: placement_messages.Admit
    ) -> placement_messages.Refused:
        """Refuses a request that is over its rate, or leaves it to its host.

        :raises RemoteError: if its host is to place it
        """
        refused = self._owner.charge_unplaced(request)
        if refused is not None:
            return refused
        raise wire_errors.RemoteError(messages.CODE_NO_ENDPOINTS, '')


def _shorten_waits(request: placement_messages.Admit, waited_ms: int) -> None:
    """Takes off the times of a request what it has waited already."""
    request.urgent_ms = max(0, request.urgent_ms - waited_ms)
    request.wait_ms = max(0, request.wait_ms - waited_ms)
    request.late_wait_ms = max(0, request.late_wait_ms - waited_ms)


def _copy(done: futures.Future, future: futures.Future) -> None:
    """Passes the outcome of one future to another."""
    error = done.exception()
    if error is not None:
        future.set_exception(error)
    else:
        future.set_result(done.result())
