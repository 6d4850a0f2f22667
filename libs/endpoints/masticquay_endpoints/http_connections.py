"""A connection to an endpoint that serves one exchange at a time."""

import collections
from collections import abc
import http.client
import select
import time

from masticquay_endpoints import channels
from masticquay_endpoints import responses

# A connection may break unnoticed while idle, so it is not reused later than
# this.
IDLE_TIMEOUT_MS = 2_000
# Ids of earlier requests that a connection remembers.
MAX_CARRIED_CALLS = 64


class Connection:
    """A connection with the time of its last use.

    :ivar channel: its socket
    :ivar reader: reads from it, beyond the end of a response
    :ivar reused: whether an earlier exchange used the connection
    :ivar exchange_count: number of exchanges that have used it
    """

    __slots__ = (
        'http',
        'channel',
        'reader',
        'last_used_s',
        'reused',
        'exchange_count',
        '_carried_calls',
    )

    def __init__(self, http_connection: http.client.HTTPConnection):
        self.http = http_connection
        # It would open a connection of its own, without limits, to send on.
        self.http.auto_open = 0
        self.channel = channels.Channel(http_connection.sock)
        self.reader = channels.LineReader(self.channel)
        self.http.sock = channels.HttpSocket(self.channel, self.reader)
        self.http.response_class = responses.Response
        self.last_used_s = time.monotonic()
        self.reused = False
        self.exchange_count = 0
        self._carried_calls: collections.deque[str] = collections.deque(
            maxlen=MAX_CARRIED_CALLS
        )

    def record_call(self, call_id: str) -> None:
        """Records the id of a request that the connection has carried."""
        self._carried_calls.append(call_id)

    def has_carried(self, call_ids: abc.Set[str]) -> bool:
        """Whether it has carried all these requests, as far as it knows."""
        return all(call_id in self._carried_calls for call_id in call_ids)

    def shut_down(self) -> None:
        """Shuts the socket down, which wakes a thread blocked on it."""
        self.channel.shut_down()

    def close(self) -> None:
        """Closes the socket."""
        self.http.close()
        self.channel.close()

    def set_timeout(self, timeout_ms: int) -> None:
        """Limits the time from now until all further waits end.

        It replaces the limit set before. To limit pauses, it is to be called
        after each progress.
        """
        self.channel.set_due(time.monotonic() + max(1, timeout_ms) / 1000)

    def set_stream_timeout(self, timeout_ms: int) -> None:
        """Does so with less effort for each read; no more can be sent."""
        self.set_timeout(timeout_ms)
        self.channel.use_kernel_timeout()

    def is_usable(self) -> bool:
        """Whether an idle connection can be reused for another request.

        It cannot when it was idle for too long, when the endpoint closed it,
        or when it has unread data, such as a late response.
        """
        if (time.monotonic() - self.last_used_s) * 1000 > IDLE_TIMEOUT_MS:
            return False
        if self.http.sock is None:
            return False
        poller = select.poll()
        poller.register(
            self.channel, select.POLLIN | select.POLLHUP | select.POLLERR
        )
        return not poller.poll(0)
