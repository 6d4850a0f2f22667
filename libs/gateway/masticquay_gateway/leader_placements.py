"""Asks the leader for placements and tells it when requests have ended."""

from concurrent import futures
import logging
import time

from masticquay_endpoints import interrupts
from masticquay_gateway import links
from masticquay_routing import messages
from masticquay_routing import placement_messages
from masticquay_wire import errors as wire_errors

LOG = logging.getLogger(__name__)

POLL_INTERVAL_MS = 100
# Added to the longest wait for a placement so that the leader's response can
# arrive.
RESPONSE_MARGIN_MS = 300


class LeftToHost:
    """The leader has charged a request, and its host is to place it."""


Answer = placement_messages.Placed | placement_messages.Refused | LeftToHost


class LeaderPlacements:
    """Placements that the leader makes for this host's requests."""

    def __init__(self, host: str, link: links.ControlLink):
        self._host = host
        self._link = link

    def ask(
        self,
        request: placement_messages.Admit,
        interrupt: interrupts.Interrupt,
    ) -> Answer | None:
        """Asks the leader for a placement; returns None if it gives none.

        The leader is then told to release any placement that it still makes.

        :raises InterruptedCallError: if the caller disconnected meanwhile
        """
        limit_ms = max(request.wait_ms, request.late_wait_ms)
        limit_ms += RESPONSE_MARGIN_MS
        future = self._link.submit(request, limit_ms)
        deadline_ms = _now_ms() + limit_ms
        try:
            while _now_ms() < deadline_ms:
                done = _wait_for(future, interrupt, POLL_INTERVAL_MS)
                if done:
                    return future.result()
                if not self._link.is_leader_reachable:
                    break
        except wire_errors.WireError as cause:
            if _is_left_to_host(cause):
                return LeftToHost()
            LOG.warning(
                'no placement from the leader', extra={'cause': str(cause)}
            )
        except interrupts.errors.InterruptedCallError:
            self.notify_finished(request, engine_ok=True)
            raise
        self.notify_finished(request, engine_ok=True)
        return None

    def notify_finished(
        self,
        request: placement_messages.Admit,
        engine_ok: bool,
        completed: bool = False,
    ) -> None:
        """Tells the leader that a request has ended.

        :param engine_ok: False if the decode engine failed
        :param completed: whether it wrote the whole answer
        """
        self._link.notify(
            placement_messages.Finished(
                self._host,
                request.service,
                request.number,
                engine_ok,
                completed,
            )
        )


def _is_left_to_host(cause: wire_errors.WireError) -> bool:
    return (
        isinstance(cause, wire_errors.RemoteError)
        and cause.code == messages.CODE_NO_ENDPOINTS
    )


def _wait_for(
    future: futures.Future, interrupt: interrupts.Interrupt, timeout_ms: int
) -> bool:
    """Waits for a future and returns whether it is done.

    :raises InterruptedCallError: if the interrupt fires meanwhile
    """
    try:
        interrupt.wait(future, timeout_ms)
    except interrupts.errors.StalledError:
        return False
    return True


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
