"""Tests of the limits on what an endpoint may send in an exchange."""

from concurrent import futures
import contextlib
import socket
import threading
import time
import tracemalloc
import unittest
import unittest.mock

from masticquay_endpoints import bodies
from masticquay_endpoints import channels
from masticquay_endpoints import connections
from masticquay_endpoints import engines
from masticquay_endpoints import errors
from masticquay_endpoints import interrupts
from masticquay_endpoints import protocols
from masticquay_endpoints import responses
from tests import test_connections

TIMEOUT_MS = 300
MAX_LATE_MS = 500
# How long an endless answer goes on.
SENDING_MS = 2_000
LONG_TIMEOUT_MS = 10_000
LIMIT_BYTES = 1_048_576
START = b'HTTP/1.1 200 OK\r\n'
OK_REST = b'Content-Length: 2\r\n\r\nok'
CHUNKED = START + b'Transfer-Encoding: chunked\r\n\r\n'
EVENT = b'data: {"index": 0, "text": "a"}\n\n'


def make_sender(*parts):
    """Returns a script that sends each part, and then closes."""

    def send(sock):
        with contextlib.suppress(OSError):
            for part in parts:
                sock.sendall(part)
            sock.shutdown(socket.SHUT_WR)

    return send


def make_dripper(start, piece):
    """Returns a script that sends a start, and then a piece now and then."""

    def send(sock):
        end_s = time.monotonic() + SENDING_MS / 1000
        with contextlib.suppress(OSError):
            sock.sendall(start)
            while time.monotonic() < end_s:
                time.sleep(0.05)
                sock.sendall(piece)

    return send


def make_chunk(data):
    return b'%x\r\n%b\r\n' % (len(data), data)


class ExchangeTest(unittest.TestCase):
    def open_pool(self, *scripts):
        self.server = test_connections.ScriptedServer(*scripts)
        self.addCleanup(self.server.close)
        pool = connections.ConnectionPool(self.server.address)
        self.addCleanup(pool.close)
        return pool

    def fetch(self, pool, timeout_ms=LONG_TIMEOUT_MS, body=b''):
        """Returns the body of an answer."""
        with connections.Exchange(pool) as exchange:
            exchange.send('POST', '/x', [], body, timeout_ms)
            return exchange.read_body(LIMIT_BYTES)

    @contextlib.contextmanager
    def assert_ends_in_time(self, limit_ms=TIMEOUT_MS + MAX_LATE_MS):
        started_s = time.monotonic()
        yield
        duration_ms = (time.monotonic() - started_s) * 1000
        self.assertLess(duration_ms, limit_ms)


class TimeLimitsTest(ExchangeTest):
    def test_endless_body_raises_exchange_timeout(self):
        """It was read for as long as it was sent."""
        pool = self.open_pool(make_dripper(START + b'\r\n', b'x'))
        with (
            self.assert_ends_in_time(),
            self.assertRaises(errors.ExchangeTimeoutError),
        ):
            self.fetch(pool, TIMEOUT_MS)

    def test_silent_endpoint_raises_no_exchange_timeout(self):
        pool = self.open_pool(lambda sock: time.sleep(SENDING_MS / 1000))
        with (
            self.assert_ends_in_time(),
            self.assertRaises(errors.StalledError) as caught,
        ):
            self.fetch(pool, TIMEOUT_MS)
        self.assertNotIsInstance(caught.exception, errors.ExchangeTimeoutError)

    def test_request_that_the_endpoint_does_not_read_ends_in_time(self):
        """Guards against sending beyond the exchange's time."""
        pool = self.open_pool(lambda sock: time.sleep(SENDING_MS / 1000))
        with (
            self.assert_ends_in_time(),
            self.assertRaises(errors.StalledError),
        ):
            self.fetch(pool, TIMEOUT_MS, b'x' * 64 * 1024 * 1024)

    def test_connecting_ends_with_the_time_of_the_exchange(self):
        """Guards against a connect timeout beyond the exchange's time."""
        listener = socket.socket()
        self.addCleanup(listener.close)
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        host, port = listener.getsockname()
        for _ in range(4):
            client = socket.socket()
            self.addCleanup(client.close)
            client.setblocking(False)
            client.connect_ex((host, port))
        pool = connections.ConnectionPool(f'{host}:{port}', LONG_TIMEOUT_MS)
        with (
            self.assert_ends_in_time(),
            self.assertRaises(errors.NotSentError),
        ):
            self.fetch(pool, TIMEOUT_MS)

    def test_interrupt_ends_wait_for_a_body_without_length(self):
        """The closed connection was no longer known, so it went on."""
        pool = self.open_pool(make_dripper(START + b'\r\n', b'x'))
        interrupt = interrupts.Interrupt()
        timer = threading.Timer(TIMEOUT_MS / 1000, interrupt.fire, ['gone'])
        timer.start()
        self.addCleanup(timer.join)
        with (
            self.assert_ends_in_time(),
            self.assertRaises(errors.InterruptedCallError),
            connections.Exchange(pool, interrupt) as exchange,
        ):
            exchange.send('POST', '/x', [], b'', LONG_TIMEOUT_MS)
            exchange.read_body(LIMIT_BYTES)

    def test_new_timeout_extends_the_time_of_an_exchange(self):
        pool = self.open_pool(make_dripper(START + b'\r\n', b'x'))
        with connections.Exchange(pool) as exchange:
            exchange.send('POST', '/x', [], b'', TIMEOUT_MS)
            end_s = time.monotonic() + 2 * TIMEOUT_MS / 1000
            while time.monotonic() < end_s:
                exchange.connection.set_timeout(TIMEOUT_MS)
                with exchange.translate_errors():
                    self.assertTrue(exchange.response.read1(100))

    def test_exchanges_with_like_timeouts_set_the_socket_once(self):
        """Each change of a socket's timeout is a system call."""

        def answer_twice(sock):
            sock.sendall(START + OK_REST)
            sock.recv(65_536)
            sock.sendall(START + OK_REST)

        pool = self.open_pool(answer_twice)
        with unittest.mock.patch.object(
            channels.Channel,
            '_set_timeout',
            autospec=True,
            side_effect=channels.Channel._set_timeout,
        ) as set_timeout:
            self.fetch(pool)
            self.fetch(pool)
        self.assertEqual(1, self.server.accepted_count)
        # Beside a busy machine, an answer may come later than the slack.
        self.assertLessEqual(set_timeout.call_count, 3)


class SizeLimitsTest(ExchangeTest):
    def assert_violates_protocol(self, *parts):
        pool = self.open_pool(make_sender(*parts))
        with self.assertRaises(errors.ProtocolViolationError):
            self.fetch(pool)

    def test_long_header_line_is_rejected(self):
        line = b'X-A: %b\r\n' % (b'b' * channels.MAX_LINE_BYTES)
        self.assert_violates_protocol(START, line, OK_REST)

    def test_head_that_is_too_long_is_rejected(self):
        """Its limit was that of a line times that of the lines, 6.5 MB."""
        line = b'X-A: %b\r\n' % (b'b' * 1_000)
        count = responses.MAX_HEAD_BYTES // len(line) + 1
        self.assertLess(count, 100)
        self.assert_violates_protocol(START, line * count, OK_REST)

    def test_head_within_its_limits_is_accepted(self):
        line = b'X-A: %b\r\n' % (b'b' * 1_000)
        pool = self.open_pool(make_sender(START, line * 50, OK_REST))
        self.assertEqual(b'ok', self.fetch(pool))

    def test_interim_answers_of_any_status_are_skipped(self):
        """Any but 100 was taken for the answer."""
        for status in (100, 102, 103, 199):
            interim = b'HTTP/1.1 %d x\r\nX-A: b\r\n\r\n' % status
            pool = self.open_pool(make_sender(interim * 2, START, OK_REST))
            self.assertEqual(b'ok', self.fetch(pool))

    def test_too_many_interim_answers_are_rejected(self):
        interim = b'HTTP/1.1 100 Continue\r\n\r\n'
        count = responses.MAX_INTERIM_ANSWERS + 1
        self.assert_violates_protocol(interim * count, START, OK_REST)

    def test_as_many_interim_answers_as_allowed_are_skipped(self):
        interim = b'HTTP/1.1 100 Continue\r\n\r\n'
        count = responses.MAX_INTERIM_ANSWERS
        pool = self.open_pool(make_sender(interim * count, START, OK_REST))
        self.assertEqual(b'ok', self.fetch(pool))

    def test_long_chunk_size_line_is_rejected(self):
        zeros = b'0' * responses.MAX_CHUNK_SIZE_BYTES
        self.assert_violates_protocol(CHUNKED, zeros, b'2\r\nok\r\n0\r\n\r\n')

    def test_malformed_chunk_sizes_are_rejected(self):
        """Numbers of Python's own forms were accepted."""
        for size in (b'+2', b'0x2', b'0_2', b'-1', b'', b'2 2', b';a'):
            self.assert_violates_protocol(
                CHUNKED, size, b'\r\nok\r\n0\r\n\r\n'
            )

    def test_long_trailers_are_rejected(self):
        """They were read without a limit."""
        lines = b'X-A: b\r\n' * responses.MAX_TRAILER_BYTES
        self.assert_violates_protocol(
            CHUNKED, b'2\r\nok\r\n0\r\n', lines, b'\r\n'
        )

    def test_short_trailers_are_skipped(self):
        pool = self.open_pool(
            make_sender(CHUNKED, b'2\r\nok\r\n0\r\nX-A: b\r\n\r\n')
        )
        self.assertEqual(b'ok', self.fetch(pool))

    def test_body_beyond_its_limit_is_rejected(self):
        body = b'x' * (LIMIT_BYTES + 1)
        length = b'Content-Length: %d\r\n\r\n' % len(body)
        self.assert_violates_protocol(START, length, body)
        self.assert_violates_protocol(START, b'\r\n', body)
        self.assert_violates_protocol(CHUNKED, make_chunk(body), b'0\r\n\r\n')

    def test_body_with_a_declared_length_beyond_its_limit_is_not_awaited(self):
        """The whole limit was read first."""
        pool = self.open_pool(
            make_dripper(START + b'Content-Length: 99999999\r\n\r\n', b'x')
        )
        with (
            self.assert_ends_in_time(),
            self.assertRaises(errors.ProtocolViolationError),
        ):
            self.fetch(pool)

    def test_body_of_its_limit_is_returned(self):
        body = b'xy' * (LIMIT_BYTES // 2)
        length = b'Content-Length: %d\r\n\r\n' % len(body)
        chunks = make_chunk(body[:70_000]) + make_chunk(body[70_000:])
        for parts in (
            (START, length, body),
            (START, b'\r\n', body),
            (CHUNKED, chunks, b'0\r\n\r\n'),
        ):
            pool = self.open_pool(make_sender(*parts))
            self.assertEqual(body, self.fetch(pool))

    def test_truncated_bodies_are_rejected(self):
        for parts in (
            (START, b'Content-Length: 3\r\n\r\nok'),
            (CHUNKED, b'2\r\nok\r\n'),
            (CHUNKED, b'3\r\nok'),
        ):
            pool = self.open_pool(make_sender(*parts))
            with self.assertRaises(errors.EndpointError):
                self.fetch(pool)


class ReuseTest(ExchangeTest):
    def test_connection_with_data_beyond_its_answer_is_not_reused(self):
        """The data was dropped when it had come with the answer."""
        pool = self.open_pool(
            lambda sock: sock.sendall(START + OK_REST + START),
            make_sender(START + OK_REST),
        )
        for _ in range(2):
            self.assertEqual(b'ok', self.fetch(pool))
        self.assertEqual(2, self.server.accepted_count)

    def test_connection_is_reused_after_a_body_read_in_parts(self):
        """Its response counted as open, so that the next request failed."""

        def answer_twice(sock):
            sock.sendall(START + OK_REST)
            sock.recv(65_536)
            sock.sendall(START + OK_REST)

        pool = self.open_pool(answer_twice)
        with connections.Exchange(pool) as exchange:
            exchange.send('GET', '/x', [], b'', LONG_TIMEOUT_MS)
            self.assertEqual(b'ok', exchange.response.read1(100))
            self.assertEqual(b'', exchange.response.read1(100))
            exchange.mark_finished()
        self.assertEqual(b'ok', self.fetch(pool))
        self.assertEqual(1, self.server.accepted_count)


class EngineStreamsTest(ExchangeTest):
    STREAM_COUNT = 100
    # Of all exchanges together, as the users ask.
    MAX_HELD_BYTES = 32 * 1024 * 1024

    def decode(self, script, first_token_timeout_ms, stall_timeout_ms):
        """Returns an iterator over the batches of a generation."""
        self.open_pool(script)
        engine = engines.HttpEngine(self.server.address)
        self.addCleanup(engine.close)
        request = protocols.DecodeRequest(
            'r1', 1, 'm', b'p', '', '', 10, 0, '', 0
        )
        return engine.decode(request, first_token_timeout_ms, stall_timeout_ms)

    def test_stream_without_a_complete_first_token_times_out(self):
        """Any data prolonged the wait."""
        batches = self.decode(
            make_dripper(CHUNKED, make_chunk(b' ')), TIMEOUT_MS, TIMEOUT_MS
        )
        with (
            self.assert_ends_in_time(),
            self.assertRaises(errors.ExchangeTimeoutError),
        ):
            list(batches)

    def test_stream_stuck_within_a_later_token_times_out(self):
        """Any data prolonged the wait."""
        batches = self.decode(
            make_dripper(CHUNKED + make_chunk(EVENT), make_chunk(b' ')),
            LONG_TIMEOUT_MS,
            TIMEOUT_MS,
        )
        self.assertEqual([b'"a"'], next(batches).texts)
        with (
            self.assert_ends_in_time(),
            self.assertRaises(errors.ExchangeTimeoutError),
        ):
            list(batches)

    def test_stream_stuck_within_a_chunk_size_times_out(self):
        """Any data prolonged the wait."""
        batches = self.decode(
            make_dripper(CHUNKED + make_chunk(EVENT), b'0'),
            LONG_TIMEOUT_MS,
            TIMEOUT_MS,
        )
        self.assertEqual([b'"a"'], next(batches).texts)
        with (
            self.assert_ends_in_time(),
            self.assertRaises(errors.ExchangeTimeoutError),
        ):
            list(batches)

    def test_time_that_the_caller_takes_does_not_count(self):
        """Guards against a stall timeout that a slow caller uses up."""

        def send(sock):
            sock.sendall(CHUNKED + make_chunk(EVENT))
            time.sleep(2 * TIMEOUT_MS / 1000)
            end = b'data: {"index": 1, "finish_reason": "stop"}\n\n'
            sock.sendall(make_chunk(end))

        batches = self.decode(send, LONG_TIMEOUT_MS, TIMEOUT_MS)
        self.assertEqual([b'"a"'], next(batches).texts)
        time.sleep(2.5 * TIMEOUT_MS / 1000)
        self.assertEqual('stop', next(batches).finish_reason)

    def assert_fails(self, batches):
        """Asserts it, and drops the error, whose frames keep the data."""
        with self.assertRaises(errors.EndpointError):
            list(batches)

    # Each held up to the limit of a chunk.
    def test_100_streams_with_endless_chunks_hold_bounded_memory(self):
        size = bodies.MAX_CHUNK_BYTES
        send = make_dripper(
            CHUNKED + b'%x\r\n' % size + b'x' * (size - 100), b'x'
        )

        def send_in_thread(sock):
            threading.Thread(target=send, args=(sock,), daemon=True).start()

        streams = [
            self.decode(send_in_thread, 1_500, TIMEOUT_MS)
            for _ in range(self.STREAM_COUNT)
        ]
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before_bytes, _ = tracemalloc.get_traced_memory()
        with futures.ThreadPoolExecutor(self.STREAM_COUNT) as executor:
            list(executor.map(self.assert_fails, streams))
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertLess(peak_bytes - before_bytes, self.MAX_HELD_BYTES)

    def test_stream_without_length_is_read_to_its_end(self):
        """The socket was gone, since the response closes the connection."""
        end = b'data: {"index": 1, "finish_reason": "stop"}\n\n'
        batches = self.decode(
            make_sender(START + b'\r\n' + EVENT, end),
            LONG_TIMEOUT_MS,
            LONG_TIMEOUT_MS,
        )
        self.assertEqual('stop', list(batches)[-1].finish_reason)
