"""Tests of answers that come after a host has given a request up."""

import contextlib
import threading
import time
import unittest
from unittest import mock

from masticquay_endpoints import interrupts
from masticquay_gateway import exchanges
from masticquay_gateway import late_answers
from masticquay_serving import counters
from tests import fakes
from tests import raw_endpoints

WAIT_S = 5.0
GIVEN_UP_MS = 50
PAUSE = ('Pause-Ms', '30000')
MARK = ('Not-Run', '1')
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
# Between two parts of a late answer.
PART_INTERVAL_S = 0.05


def thread_names():
    return {thread.name for thread in threading.enumerate()}


class FakeWatch:
    """Never has anything to say of the path."""

    def record_sent(self):
        pass

    def record_contact(self, endpoint, is_new_connection):
        pass

    def explains(self, endpoint, cause, since_s):
        return False


class LateAnswersTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.given_up = threading.Event()
        self.late = b''
        self.in_time = b''
        self.parts = []
        self.server = raw_endpoints.RawEndpoint(self.stack, 0, self.answer)
        state = fakes.FakeState([self.server.endpoint])
        self.notices = fakes.make_notices(state)
        self.registry = counters.Registry()
        self.answers = late_answers.LateAnswers(
            fakes.FakeProtocol(), self.notices, self.registry
        )
        self.stack.callback(self.answers.close)
        self.pools = exchanges.ConnectionPools(
            exchanges.Observers(FakeWatch(), self.answers)
        )
        self.stack.callback(self.pools.close)
        self.interrupt = interrupts.Interrupt()

    def answer(self, call_id, count):
        self.server.sockets[-1].sendall(self.in_time)
        self.given_up.wait(WAIT_S)
        for part in self.parts:
            self.server.sockets[-1].sendall(part)
            time.sleep(PART_INTERVAL_S)
        return self.late

    def give_up(self, error=exchanges.StalledError):
        """Sends a request that gets no answer in its time."""
        with (
            self.assertRaises(error),
            self.pools.open(
                self.server.endpoint, self.interrupt, 'c1'
            ) as exchange,
        ):
            exchange.send('POST', '/', [('Call', 'c1')], b'', GIVEN_UP_MS)

    def is_withheld(self):
        return self.notices.is_withheld(self.server.endpoint)

    def wait_for(self, condition):
        deadline_s = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline_s)
            time.sleep(0.01)

    def wait_for_end(self):
        self.given_up.set()
        self.wait_for(lambda: not self.answers.waiting_count)

    # Guards against incident BUDGET: a server that had asked a host for rest
    # got requests from it, as the host had given its attempt up before.
    def test_pause_in_a_late_refusal_is_kept(self):
        self.late = raw_endpoints.format_answer('c1', 503, extra=[MARK, PAUSE])
        self.give_up()
        self.assertFalse(self.is_withheld())
        self.given_up.set()
        self.wait_for(self.is_withheld)

    def wait_for_refusal(self, *parts):
        """Has a late refusal come in parts; returns whether it is kept."""
        self.parts = parts[:-1]
        self.late = parts[-1]
        self.give_up()
        self.wait_for_end()
        # The answer is read after its connection was closed.
        self.wait_for(lambda: 'late-answers' not in thread_names())
        return self.is_withheld()

    # Guards against incident BUDGET: an interim answer was taken for the whole
    # late answer, so the pause behind it was not heard.
    def test_pause_behind_an_interim_answer_is_kept(self):
        refusal = raw_endpoints.format_answer('c1', 503, extra=[MARK, PAUSE])
        self.assertTrue(self.wait_for_refusal(INTERIM + refusal))

    # The same, with all of it in parts.
    def test_pause_behind_an_interim_answer_that_came_first_is_kept(self):
        refusal = raw_endpoints.format_answer('c1', 503, extra=[MARK, PAUSE])
        for parts in (
            (INTERIM, refusal),
            (INTERIM + INTERIM + refusal[:9], refusal[9:]),
            (INTERIM.replace(b'100', b'103'), refusal),
        ):
            self.assertTrue(self.wait_for_refusal(*parts))
            # So that the next one meets an endpoint without a pause.
            self.doCleanups()
            self.setUp()

    # The same, where the interim answer was the only one in time.
    def test_pause_behind_an_interim_answer_in_time_is_kept(self):
        refusal = raw_endpoints.format_answer('c1', 503, extra=[MARK, PAUSE])
        for self.in_time in (INTERIM, INTERIM + INTERIM):
            self.assertTrue(self.wait_for_refusal(refusal))
            self.doCleanups()
            self.setUp()

    # An answer of which a part came in time can't be read on.
    def test_answer_that_began_in_time_is_not_waited_for(self):
        refusal = raw_endpoints.format_answer('c1', 503, extra=[MARK, PAUSE])
        for cut in (3, len(INTERIM) + 3):
            self.in_time = (INTERIM + refusal)[:cut]
            self.give_up()
            self.assertEqual(0, self.answers.waiting_count)

    # Guards against a head that breaks off behind an interim answer: what had
    # come of it was believed, such as the first digits of a pause.
    def test_late_head_that_is_cut_off_is_not_believed(self):
        refusal = raw_endpoints.format_answer('c1', 503, extra=[MARK, PAUSE])
        head, _, _body = refusal.partition(b'\r\n\r\n')
        for interim in (b'', INTERIM):
            for length_bytes in (len(head) - 3, len(head), len(head) + 3):
                cut = interim + refusal[:length_bytes]
                self.server.ends_after = 1
                self.assertFalse(self.wait_for_refusal(cut), cut)
                self.doCleanups()
                self.setUp()

    # The same for a line that is none: what follows it is not read.
    def test_late_head_with_an_unreadable_line_is_not_believed(self):
        refusal = raw_endpoints.format_answer(
            'c1', 503, extra=[MARK, PAUSE, ('A', 'b\r\nno line'), ('B', 'c')]
        )
        self.assertFalse(self.wait_for_refusal(refusal))

    def test_late_answer_to_another_request_is_not_believed(self):
        self.late = raw_endpoints.format_answer('c0', 503, extra=[MARK, PAUSE])
        self.give_up()
        self.wait_for_end()
        self.assertFalse(self.is_withheld())
        self.assertIn('answers another request', self.registry.render())

    # Guards against late answers that nobody reads any more, as an exception
    # ended the thread that waits for all of them.
    def test_late_refusal_is_read_after_another_one_raised_an_exception(self):
        self.late = raw_endpoints.format_answer('c1', 503, extra=[MARK, PAUSE])
        handle, failed = self.answers._listener.record, []

        def fail_once(*arguments, **keywords):
            if not failed:
                failed.append(arguments)
                raise ValueError('failed once')
            return handle(*arguments, **keywords)

        self.answers._listener = mock.Mock(record=fail_once)
        self.give_up()
        self.wait_for_end()
        self.wait_for(lambda: failed)
        self.given_up.clear()
        self.give_up()
        self.given_up.set()
        self.wait_for(self.is_withheld)

    def test_late_bytes_that_are_no_answer_end_the_wait(self):
        self.late = b'no answer at all\r\n\r\n'
        self.give_up()
        self.wait_for_end()
        self.assertFalse(self.is_withheld())

    def test_endless_late_head_ends_the_wait(self):
        size_bytes = 2 * late_answers.MAX_HEAD_BYTES
        self.late = b'HTTP/1.1 503 S\r\nA: ' + b'x' * size_bytes
        self.give_up()
        self.wait_for_end()

    def test_silent_endpoint_is_waited_for_in_bounds(self):
        begin_s = time.monotonic()
        self.give_up()
        self.wait_for(lambda: not self.answers.waiting_count)
        waited_ms = (time.monotonic() - begin_s) * 1000
        self.assertLess(
            waited_ms,
            late_answers.WAIT_MS + 2 * late_answers.POLL_INTERVAL_MS,
        )

    def test_connection_of_a_caller_that_left_is_closed_at_once(self):
        threading.Timer(
            GIVEN_UP_MS / 1000, self.interrupt.fire, ('left',)
        ).start()
        with (
            self.assertRaises(exchanges.InterruptedCallError),
            self.pools.open(
                self.server.endpoint, self.interrupt, 'c1'
            ) as exchange,
        ):
            exchange.send('POST', '/', [('Call', 'c1')], b'', 2_000)
        self.assertEqual(0, self.answers.waiting_count)

    def test_oldest_connection_is_closed_beyond_the_limit(self):
        late_answers.MAX_CONNECTIONS, limit = 3, late_answers.MAX_CONNECTIONS
        self.addCleanup(setattr, late_answers, 'MAX_CONNECTIONS', limit)
        for _ in range(5):
            self.give_up()
        self.assertLessEqual(self.answers.waiting_count, 3)
