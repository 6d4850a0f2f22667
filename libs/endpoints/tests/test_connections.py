"""Tests of calls over connections that fail in different ways."""

import select
import socket
import threading
import unittest

from masticquay_endpoints import connections
from masticquay_endpoints import errors
from masticquay_endpoints import interrupts
from masticquay_endpoints import services

LIMIT_S = 20
ANSWER = b'HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nok'


class ScriptedServer:
    """Answers each connection by the next function of a list."""

    def __init__(self, *scripts):
        self._listener = socket.create_server(('127.0.0.1', 0))
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        self.accepted = 0
        self.sockets = []
        self._thread = threading.Thread(
            target=self._run, args=(scripts,), daemon=True
        )
        self._thread.start()

    def _run(self, scripts):
        for script in scripts:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.accepted += 1
            self.sockets.append(sock)
            sock.recv(65_536)
            script(sock)

    def close(self):
        self._listener.close()
        for sock in self.sockets:
            sock.close()


def answer(sock):
    sock.sendall(ANSWER)


def answer_twice(sock):
    sock.sendall(ANSWER + ANSWER)


def fall_silent(sock):
    sock.sendall(ANSWER[:30])


def cut(sock):
    sock.sendall(ANSWER[:-1])
    sock.shutdown(socket.SHUT_RDWR)


class ServiceTest(unittest.TestCase):
    def serve(self, *scripts):
        server = ScriptedServer(*scripts)
        self.addCleanup(server.close)
        service = services.HttpService(server.address)
        self.addCleanup(service.close)
        return server, service

    def send(self, service, timeout_ms=5_000, interrupt=None):
        return service.send('POST', '/x', [], b'{}', timeout_ms, interrupt)

    def test_each_call_has_its_own_connection(self):
        server, service = self.serve(answer_twice, answer)
        for _ in range(2):
            self.assertEqual(b'ok', self.send(service).body)
        self.assertEqual(2, server.accepted)

    def test_unreachable_service_got_no_byte(self):
        server, service = self.serve()
        server.close()
        with self.assertRaises(errors.NotSentError):
            self.send(service)

    def test_cut_answer_may_have_run(self):
        _, service = self.serve(cut)
        with self.assertRaises(errors.EndpointError) as caught:
            self.send(service)
        self.assertNotIsInstance(caught.exception, errors.NotSentError)

    def test_silent_answer_stalls(self):
        _, service = self.serve(fall_silent)
        with self.assertRaises(errors.StalledError):
            self.send(service, timeout_ms=200)

    def test_interrupt_ends_a_waiting_call(self):
        interrupt = interrupts.Interrupt()
        _, service = self.serve(lambda sock: interrupt.fire('gone'))
        with self.assertRaises(errors.InterruptedCallError) as caught:
            self.send(service, LIMIT_S * 1000, interrupt)
        self.assertEqual('gone', caught.exception.reason)

    def test_fired_interrupt_sends_nothing(self):
        interrupt = interrupts.Interrupt()
        interrupt.fire('gone')
        server, service = self.serve(answer)
        with self.assertRaises(errors.InterruptedCallError):
            self.send(service, interrupt=interrupt)
        self.assertEqual(0, server.accepted)


class PoolTest(unittest.TestCase):
    def ask(self, pool):
        with connections.Exchange(pool) as exchange:
            exchange.send('GET', '/load', [], b'', 5_000)
            self.assertEqual(b'ok', exchange.read_body(100))
            return exchange.connection

    def test_connection_with_a_late_answer_is_not_used_again(self):
        server = ScriptedServer(answer, answer)
        self.addCleanup(server.close)
        pool = connections.ConnectionPool(server.address)
        self.addCleanup(pool.close)
        first = self.ask(pool)
        server.sockets[0].sendall(ANSWER)
        self.assertTrue(select.select([first.http.sock], [], [], LIMIT_S)[0])
        self.assertIsNot(first, self.ask(pool))
        self.assertEqual(2, server.accepted)
