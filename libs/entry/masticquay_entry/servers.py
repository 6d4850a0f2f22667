"""The HTTP server for callers: waitress with limits and draining."""

from concurrent import futures
import logging
import socket
import threading
import typing

from waitress import adjustments
from waitress import channel
from waitress import server
from waitress import task as tasks

from masticquay_entry import refusals
from masticquay_entry import settings
from masticquay_wire import peers

# Threads in addition to one for each request slot, so that refusals, host
# lists and health probes are served while all slots are taken.
RESERVED_THREADS = 16
IDLE_TIMEOUT_S = 20
CLEANUP_INTERVAL_S = 2
# Connections that the kernel queues before they are accepted.
BACKLOG = 1_024
READ_BYTES = 65_536
KEEPALIVE_PROBES = 3
JOIN_TIMEOUT_S = 5

CALLER_KEY = 'masticquay.caller'

ERROR_CODES = {
    400: 'malformed-request',
    413: 'body-too-large',
    431: 'header-too-large',
    500: 'internal',
    501: 'unsupported-encoding',
}

Application = typing.Callable[..., typing.Iterable[bytes]]


class ErrorTask(tasks.ErrorTask):
    """Responds to a request that waitress could not parse.

    It also responds with 500 to one whose response could not be sent. An
    endpoint may have worked on that one.
    """

    def execute(self) -> None:
        error = self.request.error
        refusal = refusals.Refusal(
            error.code,
            ERROR_CODES.get(error.code, 'malformed-request'),
            error.reason,
            refusals.UNKNOWN if error.code == 500 else refusals.NOT_RUN,
        )
        body = refusal.body()
        self.status = refusals.status_line(error.code)
        self.response_headers.extend(refusal.headers())
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class RequestTask(tasks.WSGITask):
    """Runs the application with the caller connection in the environ."""

    def get_environment(self) -> dict[str, typing.Any]:
        environ = super().get_environment()
        environ[CALLER_KEY] = self.channel
        return environ

    def build_response_header(self) -> bytes:
        if self.channel.server.keep_alive_disabled:
            self.set_close_on_finish()
        return super().build_response_header()

    def write(self, data: bytes) -> None:
        """Writes a part of the body, the first one with the headers."""
        if not (self.complete and data and self.has_body):
            super().write(data)
            return
        head = b''
        if not self.wrote_header:
            head = self.build_response_header()
            self.wrote_header = True
        if self.chunked_response:
            data = b'%x\r\n%b\r\n' % (len(data), data)
        else:
            self.content_bytes_written += len(data)
        self.channel.write_soon(head + data if head else data)


class Channel(channel.HTTPChannel):
    """One connection of a caller; implements ``runs.CallerConnection``."""

    task_class = RequestTask
    error_task_class = ErrorTask
    _sent_bytes = 0

    def write_soon(self, data: typing.Any) -> int:
        """Sends directly to the socket when no output is queued.

        What the socket does not take is queued. Returns the length of all.
        """
        if self.total_outbufs_len or not self.connected:
            return super().write_soon(data)
        with self.outbuf_lock:
            sent = self._send_directly(data)
        if sent < len(data):
            super().write_soon(data[sent:])
        return len(data)

    def _send_directly(self, data: bytes) -> int:
        """Returns how many bytes the socket took, 0 when it cannot send."""
        sock = self.socket
        if self.total_outbufs_len or not self.connected or sock is None:
            return 0
        try:
            sent = sock.send(data)
        except OSError:
            # write_soon() then queues the data in the base class, which
            # handles all socket errors.
            return 0
        self._sent_bytes += sent
        return sent

    def send(self, data: bytes, do_close: bool = True) -> int:
        sent = super().send(data, do_close=do_close)
        self._sent_bytes += sent
        return sent

    def is_disconnected(self) -> bool:
        """Whether the connection has ended."""
        return not self.connected

    def unsent_bytes(self) -> int:
        """Returns the number of bytes that are waiting to be sent."""
        return self.total_outbufs_len

    def sent_bytes(self) -> int:
        """Returns the number of bytes sent so far."""
        return self._sent_bytes

    def abort(self) -> None:
        """Drops the connection."""
        self.server.trigger.pull_trigger(self.handle_close)


class Dispatcher:
    """Runs requests on a thread pool."""

    def __init__(self, threads: int):
        self._pool = futures.ThreadPoolExecutor(
            threads, thread_name_prefix='request'
        )

    def add_task(self, task: channel.HTTPChannel) -> None:
        """Runs a task as soon as a thread is free."""
        self._pool.submit(task.service)

    def shutdown(self, cancel_pending: bool = True, timeout: int = 5) -> bool:
        """Ends each thread when its current task has ended."""
        self._pool.shutdown(wait=False, cancel_futures=cancel_pending)
        return True


class _Server(server.TcpWSGIServer):
    """The listening socket and its channels."""

    channel_class = Channel
    keep_alive_disabled = False

    def stop_accepting(self) -> None:
        """Closes the listening socket and idle connections."""
        self.trigger.pull_trigger(self._stop_accepting)

    def _stop_accepting(self) -> None:
        self.accepting = False
        self.del_channel()
        self.socket.close()
        for connection in list(self.active_channels.values()):
            if not connection.requests and not connection.total_outbufs_len:
                connection.will_close = True


class EntryServer:
    """Serves callers in threads until it is closed."""

    def __init__(
        self, application: Application, entry_settings: settings.EntrySettings
    ):
        self._settings = entry_settings
        logging.getLogger('waitress').setLevel(logging.ERROR)
        server_adjustments = adjustments.Adjustments(
            listen=entry_settings.caller_address,
            threads=1,
            ident='masticquay',
            backlog=BACKLOG,
            recv_bytes=READ_BYTES,
            connection_limit=entry_settings.connection_limit,
            cleanup_interval=CLEANUP_INTERVAL_S,
            channel_timeout=IDLE_TIMEOUT_S,
            log_socket_errors=False,
            max_request_header_size=entry_settings.header_limit_bytes,
            # waitress refuses also a body of exactly this size.
            max_request_body_size=entry_settings.body_limit_bytes + 1,
            outbuf_high_watermark=entry_settings.output_buffer_bytes,
            channel_request_lookahead=1,
            asyncore_use_poll=True,
            clear_untrusted_proxy_headers=False,
        )
        server_adjustments.socket_options = _socket_options(entry_settings)
        self._socket_map: dict = {}
        self._dispatcher = Dispatcher(
            entry_settings.threads + RESERVED_THREADS
        )
        self._server = _Server(
            application,
            map=self._socket_map,
            dispatcher=self._dispatcher,
            adj=server_adjustments,
        )
        self._thread = threading.Thread(
            target=self._run, name='caller-sockets', daemon=True
        )
        self._closed = False

    @property
    def address(self) -> peers.Address:
        """The address on which callers connect."""
        return peers.Address(
            self._server.effective_host, int(self._server.effective_port)
        )

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._server.active_channels)

    def start(self) -> None:
        """Starts the thread that serves all sockets."""
        self._thread.start()

    def disable_keep_alive(self) -> None:
        """Closes each connection after its next response."""
        self._server.keep_alive_disabled = True

    def stop_accepting(self) -> None:
        """Accepts no new connections; requests in progress go on."""
        self._server.stop_accepting()

    def wait_until_flushed(
        self, sleep_ms: typing.Callable[[int], None]
    ) -> None:
        """Waits until all output was sent, for at most ``caller_stall_ms``."""
        remaining_ms = self._settings.caller_stall_ms
        while remaining_ms > 0 and self._has_output():
            sleep_ms(50)
            remaining_ms -= 50

    def _has_output(self) -> bool:
        return any(
            connection.requests or connection.total_outbufs_len
            for connection in list(self._server.active_channels.values())
        )

    def close(self) -> None:
        """Drops all connections and queued requests, and stops the server."""
        if self._closed:
            return
        self._closed = True
        self._dispatcher.shutdown()
        if self._thread.is_alive():
            self._server.trigger.pull_trigger(self._socket_map.clear)
            self._thread.join(JOIN_TIMEOUT_S)

    def _run(self) -> None:
        channels = self._server.active_channels
        try:
            self._server.run()
        finally:
            for connection in list(channels.values()):
                connection.connected = False
                connection.socket.close()
            self._server.socket.close()


def _socket_options(
    entry_settings: settings.EntrySettings,
) -> list[tuple[int, int, int]]:
    """Returns socket options that detect callers that vanished silently.

    Keepalive probes detect them on idle connections, the TCP user timeout
    on connections with unacknowledged output.
    """
    silence_ms = entry_settings.caller_silence_ms
    interval_s = max(1, silence_ms // 1000 // (KEEPALIVE_PROBES + 1))
    return [
        (socket.SOL_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.SOL_TCP, socket.TCP_KEEPIDLE, interval_s),
        (socket.SOL_TCP, socket.TCP_KEEPINTVL, interval_s),
        (socket.SOL_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.SOL_TCP, socket.TCP_USER_TIMEOUT, silence_ms),
        (
            socket.SOL_SOCKET,
            socket.SO_SNDBUF,
            entry_settings.output_buffer_bytes,
        ),
    ]
