"""HTTP/1.1 server with one thread per connection.

It is used instead of ``waitress``, which reports a disconnected caller only to
a handler that polls for it and buffers streamed responses; see
docs/design/platform.md. The request line and headers are parsed by
``http.server`` of the standard library.
"""

import contextlib
import http.server
import io
import logging
import select
import socket
import socketserver
import threading
import time
import typing

from masticquay_serving import bodies
from masticquay_serving import byte_budgets
from masticquay_serving import connection_limits
from masticquay_serving import errors
from masticquay_serving import heads
from masticquay_serving import lingers
from masticquay_serving import processor_turns
from masticquay_serving import refusals
from masticquay_serving import replies
from masticquay_serving import requests
from masticquay_serving import sent_ahead
from masticquay_serving import timed_readers
from masticquay_serving import wakeups

LOG = logging.getLogger(__name__)

ACCEPT_BACKLOG = 1_024
THREAD_STACK_BYTES = 256 * 1024
# A body must arrive within this time and a second for each
# BODY_RATE_BYTES_PER_S received of it.
BODY_TIMEOUT_S = 10.0
BODY_RATE_BYTES_PER_S = 16 * 1024
# Added to the idle timeout: callers may reuse a keep-alive connection until
# the timeout, so the server must not close it first.
IDLE_MARGIN_S = 2.0
REQUEST_LINE_LIMIT_BYTES = 16 * 1024
STATUS_TOO_SLOW = 408
RETRY_AFTER_HEADER = ('Retry-After', '1')
# The accept loop takes connections that wait and stops within this time.
ACCEPT_STOP_S = 1.0
# Pause after a failure to accept a connection.
ACCEPT_RETRY_DELAY_S = 0.05
# When idle connections are closed, a caller that has just got an answer may
# have sent its next request: it has this time to arrive.
NEXT_REQUEST_S = 0.5
Application = typing.Callable[[requests.Request, replies.Reply], None]


class _ConnectionHandler(http.server.BaseHTTPRequestHandler):
    """Serves the requests of one connection in sequence."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    server: 'Server'

    @property
    def is_draining(self) -> bool:
        """Whether the connection must close after its current request."""
        return self.server.draining or self.server.connection_limit.is_near

    def setup(self) -> None:
        """Prepares the connection's streams."""
        super().setup()
        self.rfile.close()
        self._timed_reader = timed_readers.TimedReader(self.connection)
        self.rfile = io.BufferedReader(self._timed_reader)
        self._poller = select.poll()
        self._poller.register(self.connection, select.POLLIN)
        self._idle_poller = select.poll()
        self._idle_poller.register(self.connection, select.POLLIN)
        self._idle_poller.register(self.server.idle_end, select.POLLIN)

    def log_message(self, *args: object) -> None:
        """Disables the access log; applications log their requests."""

    def handle(self) -> None:
        """Serves requests until the connection closes."""
        self.close_connection = False
        try:
            while not self.close_connection:
                self._serve_request()
        except errors.CallerDisconnectedError:
            return

    def handle_expect_100(self) -> bool:
        """Tells the caller to send the body.

        :raises CallerDisconnectedError: when it does not accept the message
        """
        try:
            return super().handle_expect_100()
        except OSError as cause:
            raise errors.CallerDisconnectedError(
                type(cause).__name__
            ) from cause

    def send_error(
        self, code: int, message: str | None = None, explain: str | None = None
    ) -> None:
        """Rejects a request that the calling base class cannot parse.

        :raises BadRequestError: always; the handler then sends the response
        """
        self.close_connection = True
        raise errors.BadRequestError(int(code), message or 'unreadable')

    def _serve_request(self) -> None:
        limits = self.server.limits()
        idle_s = limits.idle_timeout_ms / 1000 + IDLE_MARGIN_S
        if not self._wait_for_request(idle_s):
            self.close_connection = True
            return
        started_s = time.monotonic()
        self.requestline = ''
        self.request_version = 'HTTP/1.1'
        self.command = ''
        reply = replies.Reply(self)
        with byte_budgets.Share(
            byte_budgets.BUDGET, self._stop_reading
        ) as memory:
            try:
                request = self._read_request_in_time(limits, started_s, memory)
            except errors.BadRequestError as cause:
                self._reject(reply, cause)
                return
            self._run_application(request, reply)

    def _stop_reading(self) -> None:
        """Wakes the thread of this connection while it reads."""
        with contextlib.suppress(OSError):
            self.connection.shutdown(socket.SHUT_RD)

    def _run_application(
        self, request: requests.Request, reply: replies.Reply
    ) -> None:
        """Has the application serve a request, which it may reject.

        :raises ValueError: if it rejects it as not read in time: it was read,
            and the status promises that it did not run
        """
        try:
            self.server.application(request, reply)
        except errors.BadRequestError as cause:
            if cause.status == STATUS_TOO_SLOW:
                raise ValueError('rejected a request that was read') from cause
            self._reject(reply, cause)

    def _wait_for_request(self, idle_s: float) -> bool:
        """Returns whether the first byte of a request arrived in time."""
        if not self._has_arrived(idle_s):
            return False
        self._timed_reader.set_deadline(time.monotonic() + idle_s)
        return bool(self.rfile.peek(1))

    def _has_arrived(self, idle_s: float) -> bool:
        """Waits for data until idle connections are closed.

        :returns: whether there is some, or the connection has ended
        """
        with self._timed_reader.paused():
            is_ahead = bool(self.rfile.peek(1))
        if is_ahead:
            if sent_ahead.wait_until_sent(self.connection, idle_s):
                return True
            refusals.REFUSALS.add('unread answers', self.client_address[0])
            return False
        idle_since_s = time.monotonic()
        events = self._idle_poller.poll(idle_s * 1000)
        if any(fd == self.connection.fileno() for fd, _event in events):
            return True
        if not events:
            return False
        left_s = idle_since_s + NEXT_REQUEST_S - time.monotonic()
        return bool(self._poller.poll(max(0.0, left_s) * 1000))

    def _read_request_in_time(
        self,
        limits: requests.LimitsLike,
        started_s: float,
        memory: byte_budgets.Share,
    ) -> requests.Request:
        try:
            return self._read_request_in_memory(limits, started_s, memory)
        except TimeoutError as cause:
            raise errors.BadRequestError(
                STATUS_TOO_SLOW, 'the request came too slowly'
            ) from cause
        except processor_turns.TurnTimeoutError as cause:
            refusals.REFUSALS.add('processor time', self.client_address[0])
            raise errors.BadRequestError(
                STATUS_TOO_SLOW, 'the body costs too much'
            ) from cause

    def _read_request_in_memory(
        self,
        limits: requests.LimitsLike,
        started_s: float,
        memory: byte_budgets.Share,
    ) -> requests.Request:
        try:
            request = self._read_request(limits, started_s, memory)
        except errors.CallerDisconnectedError:
            if memory.keep():
                raise
        else:
            if memory.keep():
                return request
        raise errors.BadRequestError(
            bodies.STATUS_NO_MEMORY, 'no memory for the body'
        )

    def _read_request(
        self,
        limits: requests.LimitsLike,
        started_s: float,
        memory: byte_budgets.Share,
    ) -> requests.Request:
        self._timed_reader.set_deadline(
            started_s + limits.header_timeout_ms / 1000
        )
        self.raw_requestline = self.rfile.readline(
            REQUEST_LINE_LIMIT_BYTES + 1
        )
        if len(self.raw_requestline) > REQUEST_LINE_LIMIT_BYTES:
            raise errors.BadRequestError(414, 'the request line is too long')
        self._parse_head(limits.max_header_bytes)
        headers = list(self.headers.items())
        size_bytes = sum(len(name) + len(value) + 4 for name, value in headers)
        if size_bytes > limits.max_header_bytes:
            raise errors.BadRequestError(431, 'the headers are too large')
        body = self._read_body(limits, memory)
        # ``self.path`` has leading slashes collapsed by ``http.server``.
        target = self.requestline.split()[1]
        return requests.Request(self.command, target, headers, body, started_s)

    def _parse_head(self, limit_bytes: int) -> None:
        stream = self.rfile
        # ``parse_request`` reads the headers, and nothing else, from here.
        self.rfile = heads.HeaderLines(stream, limit_bytes)
        try:
            is_readable = self.parse_request()
        finally:
            self.rfile = stream
        if not is_readable or not self.requestline.isascii():
            raise errors.BadRequestError(400, 'unreadable request line')
        if heads.has_unreadable_line(self.headers):
            raise errors.BadRequestError(400, 'unreadable header line')

    def _read_body(
        self, limits: requests.LimitsLike, memory: byte_budgets.Share
    ) -> bytes:
        self._timed_reader.set_deadline(
            time.monotonic() + BODY_TIMEOUT_S,
            BODY_RATE_BYTES_PER_S,
            limits.max_body_bytes,
        )
        reader = bodies.BodyReader(
            self.rfile,
            limits.max_body_bytes,
            limits.max_header_bytes,
            memory,
            lambda: self._timed_reader.deadline_s,
        )
        return reader.read(
            self.headers.get_all('Transfer-Encoding') or [],
            self.headers.get_all('Content-Length') or [],
        )

    def _reject(
        self, reply: replies.Reply, cause: errors.BadRequestError
    ) -> None:
        self.close_connection = True
        if reply.started:
            return
        LOG.warning(
            'request rejected',
            extra={'status': cause.status, 'reason': cause.detail},
        )
        headers = []
        if cause.status == bodies.STATUS_NO_MEMORY:
            headers.append(RETRY_AFTER_HEADER)
        reply.send(cause.status, headers, cause.detail.encode())


class Server(socketserver.ThreadingTCPServer):
    """Accepts connections on one address and serves each in a thread.

    :param application: serves each request
    :param limits: returns the current limits for callers
    :param connection_limit: refuses connections beyond it
    """

    allow_reuse_address = True
    daemon_threads = True
    block_on_close = False
    request_queue_size = ACCEPT_BACKLOG

    def __init__(
        self,
        address: tuple[str, int],
        application: Application,
        limits: typing.Callable[[], requests.LimitsLike],
        connection_limit: connection_limits.ConnectionLimit | None = None,
    ):
        self.application = application
        self.limits = limits
        self.draining = False
        self.idle_end = wakeups.Wakeup()
        self.connection_limit = (
            connection_limit or connection_limits.ConnectionLimit()
        )
        self._accept_end = wakeups.Wakeup()
        self._accept_stopped = threading.Event()
        self._started = False
        super().__init__(address, _ConnectionHandler)

    def start(self) -> None:
        """Starts the thread that accepts connections."""
        threading.stack_size(THREAD_STACK_BYTES)
        self.socket.setblocking(False)
        self._started = True
        threading.Thread(
            target=self._accept_connections,
            name=f'http-{self.server_address[1]}',
            daemon=True,
        ).start()

    def server_close(self) -> None:
        """Stops accepting connections and closes the listening socket."""
        self.stop_accepting()

    def shutdown_request(self, request: typing.Any) -> None:
        """Closes a connection, without a shutdown first if it was aborted.

        A shutdown would send FIN, after which the caller could take a
        truncated response for a complete one.
        """
        lingers.end(request)
        self.close_request(request)

    def stop_accepting(self) -> None:
        """Stops accepting connections; open ones are still served.

        So are those that callers have opened and the server not yet accepted.
        """
        with contextlib.suppress(OSError):
            # No further ones may queue up: those in the queue as the socket
            # closes are reset, and callers that go on connecting would keep
            # it from ever being empty.
            self.socket.listen(0)
        self._accept_end.ring()
        if self._started:
            self._accept_stopped.wait(ACCEPT_STOP_S)
        self.socket.close()

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return self.connection_limit.count

    def process_request_thread(
        self, request: typing.Any, client_address: typing.Any
    ) -> None:
        """Serves and closes a connection, which is open until then."""
        try:
            super().process_request_thread(request, client_address)
        finally:
            self.connection_limit.leave()

    def drain(self) -> None:
        """Makes each connection close after its current or next response."""
        self.draining = True

    def close_idle(self) -> None:
        """Ends the connections that have no request, from now on.

        One that has become idle just now stays open for ``NEXT_REQUEST_S``.
        """
        self.idle_end.ring()

    def _accept_connections(self) -> None:
        poller = select.poll()
        poller.register(self.socket, select.POLLIN)
        poller.register(self._accept_end, select.POLLIN)
        is_last = False
        while not is_last:
            events = poller.poll()
            is_last = any(
                fd == self._accept_end.fileno() for fd, _event in events
            )
            self._accept_waiting()
        # At once, as one more may have queued up since.
        self.socket.close()
        self._accept_stopped.set()

    def _accept_waiting(self) -> None:
        """Accepts the connections that wait."""
        while True:
            try:
                connection, address = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as cause:
                # Out of file descriptors, or the caller closed the connection
                # before it was accepted.
                LOG.warning(
                    'accepting a connection failed',
                    extra={'cause': str(cause)},
                )
                time.sleep(ACCEPT_RETRY_DELAY_S)
                return
            connection.setblocking(True)
            self._start_handler(connection, address)

    def _start_handler(
        self, connection: socket.socket, address: typing.Any
    ) -> None:
        if not self.connection_limit.enter():
            LOG.warning(
                'connection refused',
                extra={'open': self.connection_limit.count},
            )
            refusals.REFUSALS.add('connections', address[0])
            connection_limits.refuse(connection)
            return
        try:
            self.process_request(connection, address)
        except RuntimeError as cause:
            self.connection_limit.leave()
            LOG.error(
                'cannot start a thread for a connection',
                extra={'cause': str(cause)},
            )
            self.close_request(connection)

    def handle_error(self, request: object, client_address: object) -> None:
        """Logs an unexpected error of a connection."""
        LOG.exception('unexpected error on a connection')
