"""Decides when a dialer sends a ping, and when it drops or closes a link."""

import enum

from masticquay_wire import peers


class Action(enum.Enum):
    """The action that a dialer takes on its link.

    ``DROP`` ends a link whose peer is silent, ``CLOSE`` a link that is idle.
    """

    WAIT = 'wait'
    PING = 'ping'
    DROP = 'drop'
    CLOSE = 'close'


class Heartbeat:
    """Monitors one link; all times are monotonic, in seconds.

    While calls are pending, pings are frequent and the silence timeout is
    short. A link that is kept open without calls has the longer idle
    interval and timeout. Any other link is closed once it has been idle for
    ``IDLE_CLOSE_TIMEOUT_MS``.
    """

    __slots__ = (
        '_keep_open',
        '_last_frame_s',
        '_silent_since_s',
        '_last_ping_s',
        '_last_busy_s',
    )

    def __init__(self, now_s: float, keep_open: bool):
        self._keep_open = keep_open
        self._last_frame_s = now_s
        self._silent_since_s = now_s
        self._last_ping_s = now_s
        self._last_busy_s = now_s

    def record_frame(self, now_s: float) -> None:
        """Records that a frame arrived."""
        self._last_frame_s = now_s
        self._silent_since_s = now_s

    def check(self, now_s: float, has_pending_calls: bool) -> Action:
        """Returns the action that is due."""
        if has_pending_calls:
            self._last_busy_s = now_s
            return self._check_silence(
                now_s,
                self._silent_since_s,
                peers.HEARTBEAT_INTERVAL_MS,
                peers.SILENCE_TIMEOUT_MS,
            )
        # Without pending calls, the start of the silence is moved forward to
        # at most one heartbeat interval ago. So once a call is pending, the
        # next check sends a ping, unless a frame arrived or a ping was sent
        # within the last interval. The peer has the rest of the silence
        # timeout to send a frame.
        self._silent_since_s = max(
            self._silent_since_s, now_s - peers.HEARTBEAT_INTERVAL_MS / 1000
        )
        if self._keep_open:
            return self._check_silence(
                now_s,
                self._last_frame_s,
                peers.IDLE_HEARTBEAT_INTERVAL_MS,
                peers.IDLE_SILENCE_TIMEOUT_MS,
            )
        if now_s - self._last_busy_s > peers.IDLE_CLOSE_TIMEOUT_MS / 1000:
            return Action.CLOSE
        return Action.WAIT

    def _check_silence(
        self, now_s: float, since_s: float, interval_ms: int, timeout_ms: int
    ) -> Action:
        if now_s - since_s > timeout_ms / 1000:
            return Action.DROP
        if now_s - max(since_s, self._last_ping_s) >= interval_ms / 1000:
            self._last_ping_s = now_s
            return Action.PING
        return Action.WAIT
