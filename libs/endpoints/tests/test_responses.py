"""Tests of which responses are believed, and of connections after them."""

import threading
import time
import unittest

from masticquay_endpoints import connections
from masticquay_endpoints import engines
from masticquay_endpoints import errors
from masticquay_endpoints import interrupts
from masticquay_endpoints import protocols
from tests import test_connections

TIMEOUT_MS = 5_000
UNREADABLE_STATUSES = (
    b'0200 OK',
    b'+200 OK',
    b'2_00 OK',
    b'20 OK',
    b'000 x',
    b'099 x',
    b'600 x',
    b'999 x',
    b'1000 x',
    b'200OK',
    b'',
)
PAUSE_S = 0.1
CLOSING_HEAD = b'HTTP/1.1 200 x\r\nConnection: close\r\n'
STREAM = (
    b'data: {"index": 0, "text": "a"}\n\n'
    b'data: {"index": 1, "finish_reason": "stop"}\n\n'
)


def make_response(body):
    head = f'HTTP/1.1 200 x\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


class ResponseTest(unittest.TestCase):
    def start_server(self, *scripts):
        server = test_connections.ScriptedServer(*scripts)
        self.addCleanup(server.close)
        return server

    def start_pool(self, *scripts):
        pool = connections.ConnectionPool(self.start_server(*scripts).address)
        self.addCleanup(pool.close)
        return pool

    def exchange(self, pool):
        with connections.Exchange(pool) as exchange:
            response = exchange.send('GET', '/x', [], b'', TIMEOUT_MS)
            return response.status, exchange.read_body(100)

    # Guards against the answer of an endpoint in trouble that passes for one
    # with another status, as ``int`` reads it.
    def test_response_with_an_unreadable_status_is_refused(self):
        for status in UNREADABLE_STATUSES:
            head = b'HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\nok' % status
            pool = self.start_pool(lambda sock, head=head: sock.sendall(head))
            with (
                self.subTest(status),
                self.assertRaises(errors.EndpointError),
            ):
                self.exchange(pool)

    def test_response_without_a_reason_is_read(self):
        for line in (b'HTTP/1.1 200', b'HTTP/1.1 200 ', b'HTTP/1.0 200 a b'):
            head = line + b'\r\nContent-Length: 2\r\n\r\nok'
            pool = self.start_pool(lambda sock, head=head: sock.sendall(head))
            with self.subTest(line):
                self.assertEqual((200, b'ok'), self.exchange(pool))

    # Guards against the answer to one request being taken for that to the
    # next one, on a connection that is a response behind.
    def test_interim_response_is_not_taken_for_the_response(self):
        def send_hints_first(sock):
            for body in (b'first', b'second'):
                sock.sendall(b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n')
                time.sleep(PAUSE_S)
                sock.sendall(make_response(body))
                sock.recv(65_536)

        pool = self.start_pool(send_hints_first)
        for body in (b'first', b'second'):
            self.assertEqual((200, body), self.exchange(pool))

    # Guards against a connection that is used again in the middle of bytes
    # that belong to no request.
    def test_connection_with_bytes_after_the_response_is_not_reused(self):
        def send_too_much(sock):
            sock.sendall(make_response(b'ok') + b'HTTP/1.1 503 x\r\nA: ')
            sock.recv(65_536)
            sock.sendall(make_response(b'from the wrong connection'))

        pool = self.start_pool(
            send_too_much, lambda sock: sock.sendall(make_response(b'next'))
        )
        self.assertEqual((200, b'ok'), self.exchange(pool))
        self.assertEqual((200, b'next'), self.exchange(pool))

    # Guards against a body that is passed on with the lines of its chunks,
    # since the lines of the head after an unreadable one are left out.
    def test_response_with_an_unreadable_header_line_is_an_error(self):
        def send_chunked(sock):
            sock.sendall(
                b'HTTP/1.1 200 x\r\nX A: b\r\nTransfer-Encoding: chunked\r\n'
                b'\r\n2\r\nok\r\n0\r\n\r\n'
            )
            sock.close()

        with self.assertRaises(errors.EndpointError):
            self.exchange(self.start_pool(send_chunked))

    # Guards against a body that counts as whole at the end of its connection
    # although nothing says how long it is.
    def test_response_with_an_unreadable_body_length_is_an_error(self):
        framings = (
            b'Content-Length: abc',
            b'Content-Length: 5, 5',
            b'Content-Length: -4',
            b'Content-Length: +2',
            b'Content-Length:',
            b'Transfer-Encoding: gzip, chunked',
            b'Transfer-Encoding: gzip',
            b'Transfer-Encoding: chunked \r\nContent-Length: 2',
            b'Transfer-Encoding: chunked ',
            b'Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked',
        )
        for framing in framings:

            def send_body(sock, framing=framing):
                sock.sendall(
                    b'HTTP/1.1 200 x\r\n' + framing + b'\r\n\r\n2\r\nok\r\n'
                )
                sock.close()

            with (
                self.subTest(framing=framing),
                self.assertRaises(errors.EndpointError),
            ):
                self.exchange(self.start_pool(send_body))

    def test_chunked_response_is_read_in_upper_case_too(self):
        def send_chunked(sock):
            sock.sendall(
                b'HTTP/1.1 200 x\r\nTransfer-Encoding: Chunked\r\n\r\n'
                b'2\r\nok\r\n0\r\n\r\n'
            )

        pool = self.start_pool(send_chunked)
        self.assertEqual((200, b'ok'), self.exchange(pool))

    # Guards against bytes of one chunk that are read as another one (MIXED):
    # what followed the data of a chunk was left out unseen.
    def test_chunk_that_is_longer_than_its_size_is_an_error(self):
        def send_chunked(sock):
            sock.sendall(
                b'HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n'
                b'2\r\nokXX1\r\nz\r\n0\r\n\r\n'
            )

        with self.assertRaises(errors.EndpointError):
            self.exchange(self.start_pool(send_chunked))

    # Guards against a stamp beside the mark of a refusal that is left out, and
    # a mark that is read out of another header: a carriage return within a
    # line ends a header, or all of them, for the parser only.
    def test_response_with_a_carriage_return_in_a_header_is_an_error(self):
        for lines in (b'X-A: 1\r\r\nX-B: 2\r\n', b'X-A: 1\rX-B: 2\r\n'):
            head = b'HTTP/1.1 200 x\r\nContent-Length: 2\r\n' + lines
            pool = self.start_pool(
                lambda sock, head=head: sock.sendall(head + b'\r\nok')
            )
            with (
                self.subTest(lines=lines),
                self.assertRaises(errors.EndpointError),
            ):
                self.exchange(pool)

    def test_response_with_several_parts_is_read(self):
        head = b'HTTP/1.1 200 x\r\nContent-Type: multipart/mixed\r\n'
        pool = self.start_pool(
            lambda sock: sock.sendall(head + b'Content-Length: 2\r\n\r\nok')
        )
        self.assertEqual((200, b'ok'), self.exchange(pool))

    # Guards against an endpoint that works on for a caller that has left, and
    # against a part that counts as whole since the interrupt ended it.
    def test_interrupt_ends_the_wait_for_a_response_that_closes(self):
        released = threading.Event()
        self.addCleanup(released.set)

        for length in (b'Content-Length: 9\r\n', b''):

            def send_part_and_wait(sock, length=length):
                sock.sendall(CLOSING_HEAD + length + b'\r\npart')
                released.wait(TIMEOUT_MS / 1000)

            pool = self.start_pool(send_part_and_wait)
            interrupt = interrupts.Interrupt()
            with (
                self.subTest(length=length),
                connections.Exchange(pool, interrupt) as exchange,
            ):
                exchange.send('GET', '/x', [], b'', TIMEOUT_MS)
                threading.Timer(PAUSE_S, interrupt.fire, ['gone']).start()
                began_s = time.monotonic()
                with self.assertRaises(errors.InterruptedCallError):
                    exchange.read_body(100)
                waited_s = time.monotonic() - began_s
                self.assertLess(waited_s, TIMEOUT_MS / 1000 / 2)

    # Guards against a stream that counts as broken because its timeout is
    # still the one of the wait for its head.
    def test_timeout_can_be_changed_while_a_response_closes(self):
        def send_slowly(sock):
            sock.sendall(CLOSING_HEAD + b'Content-Length: 2\r\n\r\n')
            time.sleep(4 * PAUSE_S)
            sock.sendall(b'ok')

        pool = self.start_pool(send_slowly)
        with connections.Exchange(pool) as exchange:
            exchange.send('GET', '/x', [], b'', int(PAUSE_S * 1000))
            exchange.connection.set_timeout(TIMEOUT_MS)
            self.assertEqual(b'ok', exchange.read_body(100))
            exchange.connection.set_timeout(TIMEOUT_MS)

    # Guards against engines that cannot be used once they close connections.
    def test_stream_that_closes_its_connection_is_read(self):
        def send_stream(sock):
            sock.sendall(CLOSING_HEAD + b'\r\n' + STREAM)

        engine = engines.HttpEngine(self.start_server(send_stream).address)
        self.addCleanup(engine.close)
        request = protocols.DecodeRequest(
            'one', 1, 'm', b'text', '', '', 10, 0, '', 0
        )
        batches = list(engine.decode(request, TIMEOUT_MS, TIMEOUT_MS))
        self.assertEqual([b'"a"'], batches[0].texts)
        self.assertEqual('stop', batches[-1].finish_reason)
