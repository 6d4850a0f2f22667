"""When a dialler pings, and when it takes a link for lost."""

import enum

from masticquay_wire import peers


class Action(enum.Enum):
    """What a dialler does with its link now."""

    WAIT = 'wait'
    PING = 'ping'
    DROP = 'drop'
    CLOSE = 'close'


class Heartbeat:
    """Watches one link; times are of the monotonic clock, in seconds.

    While calls are open the link is pinged and judged often; while it is
    only kept open, seldom; otherwise it is closed after a while.
    """

    __slots__ = ('_keep_open', '_frame_s', '_quiet_s', '_ping_s', '_busy_s')

    def __init__(self, now_s: float, keep_open: bool):
        self._keep_open = keep_open
        self._frame_s = now_s
        self._quiet_s = now_s
        self._ping_s = now_s
        self._busy_s = now_s

    def note_frame(self, now_s: float) -> None:
        """Notes that a frame arrived."""
        self._frame_s = now_s
        self._quiet_s = now_s

    def check(self, now_s: float, busy: bool) -> Action:
        """Returns what to do.

        :param busy: whether calls are open
        """
        if busy:
            self._busy_s = now_s
            return self._judge(
                now_s,
                self._quiet_s,
                peers.HEARTBEAT_MS,
                peers.SILENCE_LIMIT_MS,
            )
        # A call on a link that was idle gets the whole limit.
        self._quiet_s = max(self._quiet_s, now_s - peers.HEARTBEAT_MS / 1000)
        if self._keep_open:
            return self._judge(
                now_s,
                self._frame_s,
                peers.IDLE_HEARTBEAT_MS,
                peers.IDLE_SILENCE_LIMIT_MS,
            )
        if now_s - self._busy_s > peers.IDLE_CLOSE_MS / 1000:
            return Action.CLOSE
        return Action.WAIT

    def _judge(
        self, now_s: float, since_s: float, interval_ms: int, limit_ms: int
    ) -> Action:
        if now_s - since_s > limit_ms / 1000:
            return Action.DROP
        if now_s - max(since_s, self._ping_s) >= interval_ms / 1000:
            self._ping_s = now_s
            return Action.PING
        return Action.WAIT
