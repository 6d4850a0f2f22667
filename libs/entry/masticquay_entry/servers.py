"""The HTTP server for callers: waitress with bounds and a way to drain."""

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

# Threads beyond those that serve requests, so that refusals, host lists and
# probes are answered while all of those are busy.
RESERVE_THREADS = 16
IDLE_TIMEOUT_S = 20
CLEANUP_INTERVAL_S = 2
BACKLOG = 1_024
READ_BYTES = 65_536
KEEPALIVE_PROBES = 3
JOIN_TIMEOUT_S = 5

CALLER_KEY = 'masticquay.caller'

STATUS_CODES = {
    400: 'malformed-request',
    413: 'body-too-large',
    431: 'header-too-large',
    501: 'unsupported-encoding',
}

Application = typing.Callable[..., typing.Iterable[bytes]]


class ErrorTask(tasks.ErrorTask):
    """Answers what waitress could not parse, in the usual form."""

    def execute(self) -> None:
        error = self.request.error
        refusal = refusals.Refusal(
            error.code,
            STATUS_CODES.get(error.code, 'malformed-request'),
            error.reason,
        )
        body = refusal.body()
        self.status = refusals.status_line(error.code)
        self.response_headers.extend(refusal.headers())
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class RequestTask(tasks.WSGITask):
    """Runs the application with the caller's connection in the environ."""

    def get_environment(self) -> dict[str, typing.Any]:
        environ = super().get_environment()
        environ[CALLER_KEY] = self.channel
        return environ

    def build_response_header(self) -> bytes:
        if self.channel.server.closes_connections:
            self.set_close_on_finish()
        return super().build_response_header()

    def write(self, data: bytes) -> None:
        """Writes a part; the head and the first part go out together."""
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
    """One connection of a caller; see ``runs.Caller``."""

    task_class = RequestTask
    error_task_class = ErrorTask
    _sent_bytes = 0

    def write_soon(self, data: typing.Any) -> int:
        """Sends output at once when nothing waits before it."""
        if self.total_outbufs_len or not self.connected:
            return super().write_soon(data)
        with self.outbuf_lock:
            sent = self._send_now(data)
        if sent < len(data):
            super().write_soon(data[sent:])
        return len(data)

    def _send_now(self, data: bytes) -> int:
        sock = self.socket
        if self.total_outbufs_len or not self.connected or sock is None:
            return 0
        try:
            sent = sock.send(data)
        except OSError:
            # The slower way of the base class deals with every error.
            return 0
        self._sent_bytes += sent
        return sent

    def send(self, data: bytes, do_close: bool = True) -> int:
        sent = super().send(data, do_close=do_close)
        self._sent_bytes += sent
        return sent

    def is_gone(self) -> bool:
        """Whether the caller closed the connection."""
        return not self.connected

    def waiting_bytes(self) -> int:
        """Returns how much output the caller has not taken yet."""
        return self.total_outbufs_len

    def sent_bytes(self) -> int:
        """Returns how much output the connection took so far."""
        return self._sent_bytes

    def cut(self) -> None:
        """Drops the connection."""
        self.server.trigger.pull_trigger(self.handle_close)


class Dispatcher:
    """Runs requests on a pool of threads."""

    def __init__(self, threads: int):
        self._pool = futures.ThreadPoolExecutor(
            threads, thread_name_prefix='request'
        )

    def add_task(self, task: channel.HTTPChannel) -> None:
        """Runs a task as soon as a thread is free."""
        self._pool.submit(task.service)

    def shutdown(self, cancel_pending: bool = True, timeout: int = 5) -> bool:
        """Ends the threads once their tasks have ended."""
        self._pool.shutdown(wait=False, cancel_futures=cancel_pending)
        return True


class _Server(server.TcpWSGIServer):
    """The listening socket and its channels."""

    channel_class = Channel
    closes_connections = False

    def stop_accepting(self) -> None:
        """Closes the listening socket; connections stay."""
        self.trigger.pull_trigger(self._stop_accepting)

    def _stop_accepting(self) -> None:
        self.accepting = False
        self.del_channel()
        self.socket.close()
        for each in list(self.active_channels.values()):
            if not each.requests and not each.total_outbufs_len:
                each.will_close = True


class EntryServer:
    """Serves callers in threads until it is closed."""

    def __init__(
        self, application: Application, entry_settings: settings.EntrySettings
    ):
        self._settings = entry_settings
        logging.getLogger('waitress').setLevel(logging.ERROR)
        adjusted = adjustments.Adjustments(
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
            max_request_body_size=entry_settings.body_limit_bytes + 1,
            outbuf_high_watermark=entry_settings.output_buffer_bytes,
            channel_request_lookahead=1,
            asyncore_use_poll=True,
            clear_untrusted_proxy_headers=False,
        )
        adjusted.socket_options = _socket_options(entry_settings)
        self._map: dict = {}
        self._dispatcher = Dispatcher(entry_settings.threads + RESERVE_THREADS)
        self._server = _Server(
            application,
            map=self._map,
            dispatcher=self._dispatcher,
            adj=adjusted,
        )
        self._thread = threading.Thread(
            target=self._run, name='caller-sockets', daemon=True
        )
        self._closed = False

    @property
    def address(self) -> peers.Address:
        """Where callers connect."""
        return peers.Address(
            self._server.effective_host, int(self._server.effective_port)
        )

    @property
    def connection_count(self) -> int:
        """How many connections callers have open."""
        return len(self._server.active_channels)

    def start(self) -> None:
        """Serves in a thread of its own."""
        self._thread.start()

    def announce_closing(self) -> None:
        """Lets each answer from now on be the last of its connection."""
        self._server.closes_connections = True

    def stop_accepting(self) -> None:
        """Takes no new connection; requests under way go on."""
        self._server.stop_accepting()

    def flush(self, clock_sleep: typing.Callable[[int], None]) -> None:
        """Waits until callers have taken the output that waits for them."""
        left_ms = self._settings.caller_stall_ms
        while left_ms > 0 and self._has_output():
            clock_sleep(50)
            left_ms -= 50

    def _has_output(self) -> bool:
        return any(
            each.requests or each.total_outbufs_len
            for each in list(self._server.active_channels.values())
        )

    def close(self) -> None:
        """Drops all connections and ends the threads."""
        if self._closed:
            return
        self._closed = True
        self._dispatcher.shutdown()
        if self._thread.is_alive():
            self._server.trigger.pull_trigger(self._map.clear)
            self._thread.join(JOIN_TIMEOUT_S)

    def _run(self) -> None:
        channels = self._server.active_channels
        try:
            self._server.run()
        finally:
            for each in list(channels.values()):
                each.connected = False
                each.socket.close()
            self._server.socket.close()


def _socket_options(
    entry_settings: settings.EntrySettings,
) -> list[tuple[int, int, int]]:
    """Returns options that find callers who vanished without a word.

    Probes find those who owe nothing, the user timeout those who do not
    acknowledge output.
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
