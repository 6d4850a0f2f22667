"""Hears endpoints that answer after a host has given a request up.

Nothing of such an answer reaches a caller. But an endpoint that refuses may
ask the host for a pause, or say that it leaves, and has then said so.
"""

import contextlib
import http.client
import io
import logging
import re
import select
import socket
import threading
import time

from masticquay_endpoints import channels
from masticquay_endpoints import errors
from masticquay_endpoints import http_connections
from masticquay_endpoints import responses
from masticquay_gateway import answers
from masticquay_gateway import ports
from masticquay_routing import fleets
from masticquay_serving import counters
from masticquay_wire import duties

LOG = logging.getLogger(__name__)

# An endpoint that gets the end of the connection drops the request, or
# refuses it soon.
WAIT_MS = 2_000
# The oldest are closed above this number.
MAX_CONNECTIONS = 256
# With those of interim answers before it.
MAX_HEAD_BYTES = 16 * 1024
INTERIM_ANSWER = re.compile(rb'HTTP/1\.\d 1\d\d[ \r]')
HEAD_END = b'\r\n\r\n'
READ_SIZE_BYTES = 4 * 1024
POLL_INTERVAL_MS = 500


class _LateAnswer:
    """A connection on which an answer may still come.

    :ivar received_bytes: size of all that has come
    """

    __slots__ = (
        'connection',
        'sock',
        'endpoint',
        'call_id',
        'begun_s',
        'received_bytes',
        '_data',
    )

    def __init__(
        self,
        connection: http_connections.Connection,
        endpoint: fleets.Endpoint,
        call_id: str,
    ):
        self.connection = connection
        self.sock = connection.channel.detach()
        self.endpoint = endpoint
        self.call_id = call_id
        self.begun_s = time.monotonic()
        self.received_bytes = 0
        self._data = b''

    def feed(self, data: bytes) -> bytes | None:
        """Adds data; returns the answer's head once that is whole.

        Heads of interim answers before it are left out.
        """
        self.received_bytes += len(data)
        self._data += data
        while (end := self._data.find(HEAD_END)) >= 0:
            end += len(HEAD_END)
            head, self._data = self._data[:end], self._data[end:]
            if INTERIM_ANSWER.match(head) is None:
                return head
        return None

    @property
    def waited_ms(self) -> float:
        """Time since the request was given up."""
        return (time.monotonic() - self.begun_s) * 1000


class LateAnswers:
    """Waits for late answers in one thread, which ends when none is due.

    :param listener: told what endpoints say of themselves
    """

    def __init__(
        self,
        protocol: ports.EndpointProtocol,
        listener: answers.NoticeListener,
        registry: counters.Registry,
    ):
        self._protocol = protocol
        self._listener = listener
        self._registry = registry
        self._lock = threading.Lock()
        self._waiting: dict[int, _LateAnswer] = {}
        self._is_running = False
        self._read_duty = duties.Duty(
            'late answers',
            self._read,
            lambda duty: registry.count('duty_failures', 'duty', duty),
        )
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)

    def wait(
        self,
        connection: http_connections.Connection,
        endpoint: fleets.Endpoint,
        call_id: str,
    ) -> None:
        """Takes over a connection whose request was not answered in time.

        Its sending side is closed at once, which tells the endpoint that
        nobody waits for the answer itself.
        """
        late = _LateAnswer(connection, endpoint, call_id)
        try:
            late.sock.setblocking(False)
            late.sock.shutdown(socket.SHUT_WR)
        except OSError:
            connection.close()
            return
        with self._lock:
            self._waiting[late.sock.fileno()] = late
            if len(self._waiting) > MAX_CONNECTIONS:
                self._close(next(iter(self._waiting.values())))
            if not self._is_running:
                self._is_running = True
                threading.Thread(
                    target=self._run, name='late-answers', daemon=True
                ).start()
        with contextlib.suppress(OSError):
            self._wake_writer.send(b'x')

    @property
    def waiting_count(self) -> int:
        """Number of connections on which an answer may still come."""
        return len(self._waiting)

    def close(self) -> None:
        """Closes all connections."""
        with self._lock:
            for late in list(self._waiting.values()):
                self._close(late)

    def _run(self) -> None:
        while True:
            with self._lock:
                for late in list(self._waiting.values()):
                    if late.waited_ms >= WAIT_MS:
                        self._close(late)
                if not self._waiting:
                    self._is_running = False
                    return
                descriptors = list(self._waiting)
            for descriptor in self._poll(descriptors):
                late = self._waiting.get(descriptor)
                if late is not None and not self._read_duty.run_once(late):
                    with self._lock:
                        self._close(late)

    def _poll(self, descriptors: list[int]) -> list[int]:
        """Returns the descriptors with data, waiting for the first one."""
        poller = select.poll()
        poller.register(self._wake_reader, select.POLLIN)
        for descriptor in descriptors:
            poller.register(descriptor, select.POLLIN)
        ready = [descriptor for descriptor, _ in poller.poll(POLL_INTERVAL_MS)]
        with contextlib.suppress(OSError):
            self._wake_reader.recv(READ_SIZE_BYTES)
        return ready

    def _read(self, late: _LateAnswer) -> None:
        """Reads what has come, and ends the wait once that is a head."""
        try:
            data = late.sock.recv(READ_SIZE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b''
        head = late.feed(data)
        is_in_bounds = late.received_bytes <= MAX_HEAD_BYTES
        if data and head is None and is_in_bounds:
            return
        with self._lock:
            self._close(late)
        if head is not None:
            self._handle_head(late, head)

    def _handle_head(self, late: _LateAnswer, data: bytes) -> None:
        response = _parse(data)
        if response is None:
            return
        headers = list(response.headers.items())
        head = self._protocol.parse_response_head(response.status, headers)
        verdict = answers.judge(late.call_id, head)
        self._registry.count('late_answers', 'verdict', verdict.value)
        LOG.info(
            'endpoint answered after its request was given up',
            extra={
                'call': late.call_id,
                'endpoint': late.endpoint.endpoint_id,
                'verdict': verdict.value,
                'status': head.status,
                'late_ms': round(late.waited_ms),
            },
        )
        if verdict not in answers.UNATTRIBUTED_VERDICTS:
            self._listener.record(
                late.endpoint,
                head.status,
                headers,
                has_run=verdict is answers.Verdict.RUN,
            )

    def _close(self, late: _LateAnswer) -> None:
        """Ends a wait; the caller holds the lock."""
        self._waiting.pop(late.sock.fileno(), None)
        late.connection.close()


class _Received:
    """What a response whose data has all come is read from."""

    __slots__ = ('_file',)

    def __init__(self, data: bytes):
        self._file = io.BytesIO(data)

    def recv_into(self, buffer: memoryview) -> int:
        """Reads data into a buffer."""
        return self._file.readinto(buffer)

    def makefile(self, mode: str) -> channels.LineReader:
        """Returns a reader of the data."""
        return channels.LineReader(self)


def _parse(data: bytes) -> responses.Response | None:
    """Returns the response with this head, None if it is none."""
    response = responses.Response(_Received(data))
    try:
        response.begin()
    except (
        http.client.HTTPException,
        errors.EndpointError,
        ValueError,
        OSError,
    ):
        return None
    return response
