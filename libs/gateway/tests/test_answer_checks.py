"""Tests of the check of answers, with answers drawn at random.

The rules are written here a second time, from the platform's pages.
"""

import logging
import types
import unittest

import hypothesis
from hypothesis import strategies

from masticquay_gateway import answers
from masticquay_gateway import errors
from masticquay_gateway import exchanges
from masticquay_gateway import ports
from masticquay_routing import fleets
from masticquay_serving import counters

EXAMPLE_COUNT = 10_000
OWN_ID = 'c1'
# Equal, missing, other, doubled, and both own and other.
ID_LISTS = ([OWN_ID], [], ['c0'], [OWN_ID, OWN_ID], [OWN_ID, 'c0'])
STATUSES = (200, 204, 400, 404, 408, 421, 429, 500, 502, 503, 504)
OTHER_STATUSES = tuple(s for s in range(200, 600) if s not in STATUSES)
# About as many of the former as of the latter are drawn.
DRAWN_STATUSES = STATUSES * 36 + OTHER_STATUSES
# Answers with these may bear the mark of a request that was not run.
MARKABLE_STATUSES = (400, 421, 429, 503)
# To a caller, these promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)
RUN, NOT_RUN = answers.Verdict.RUN, answers.Verdict.NOT_RUN
ENDPOINT = fleets.Endpoint('e0', 'svc', '127.0.0.1:1', 'p1', 8, False, '')


class Answer:
    """A drawn answer.

    :param ids: the values of its request id header
    :param whole: whether it is read to its end
    """

    def __init__(self, status, ids, marked, stamped, whole):
        self.status = status
        self.ids = ids
        self.marked = marked
        self.stamped = stamped
        self.whole = whole

    def __repr__(self):
        return f'Answer({vars(self)})'

    @property
    def head(self):
        return ports.ResponseHead(
            self.status,
            frozenset(self.ids),
            ports.NotRunMark('1') if self.marked else None,
            self.stamped,
            0,
            [],
        )

    @property
    def is_own(self):
        return set(self.ids) == {OWN_ID}

    @property
    def refuses(self):
        """Whether it proves that the request was not run."""
        return (
            self.is_own
            and self.status in MARKABLE_STATUSES
            and (self.marked or self.status == 421)
            and not self.stamped
        )

    @property
    def may_be_passed_on(self):
        """Whether it proves that the request was run."""
        return (
            self.is_own
            and self.stamped
            and not self.marked
            and self.status not in PROMISES
        )


def make_answer(number):
    """Returns one of ``ANSWER_COUNT`` answers."""
    number, flags = divmod(number, 8)
    number, id_number = divmod(number, len(ID_LISTS))
    status = DRAWN_STATUSES[number]
    marked, stamped, whole = flags & 1, flags & 2, flags & 4
    return Answer(
        status, ID_LISTS[id_number], bool(marked), bool(stamped), bool(whole)
    )


ANSWER_COUNT = 8 * len(ID_LISTS) * len(DRAWN_STATUSES)
ANSWERS = strategies.integers(0, ANSWER_COUNT - 1).map(make_answer)


class FakeExchange:
    """An exchange that brought a drawn answer."""

    def __init__(self, answer):
        self.answer = answer
        self.response = types.SimpleNamespace(
            status=answer.status, headers={}, will_close=False
        )
        self.connection = types.SimpleNamespace(
            exchange_count=1,
            has_carried=lambda call_ids: False,
            record_call=lambda call_id: None,
        )

    def read_body(self, limit_bytes):
        if not self.answer.whole:
            raise exchanges.EndpointError('broke off')
        return b''


class FakeProtocol:
    def __init__(self, answer):
        self.answer = answer

    def parse_notice(self, status, headers):
        return ports.EndpointNotice()

    def parse_response_head(self, status, headers):
        return self.answer.head


class FakeListener:
    def __init__(self):
        self.record_count = 0

    def record(self, endpoint, status, headers, has_run):
        self.record_count += 1


def check(answer):
    """Returns the outcome of the check and the number of notices recorded."""
    listener = FakeListener()
    checker = answers.AnswerChecker(
        FakeProtocol(answer), listener, counters.Registry()
    )
    try:
        outcome = checker.check(OWN_ID, ENDPOINT, FakeExchange(answer))
    except (errors.GatewayError, exchanges.EndpointError) as cause:
        outcome = cause
    return outcome, listener.record_count


class AnswerChecksTest(unittest.TestCase):
    def setUp(self):
        # Each answer that is not passed on has a line in the log.
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    # Guards against a promise that rests on another request's answer, on one
    # that contradicts itself or on a part of one; against passing on what the
    # request's endpoint did not answer; and against obeying the notices in
    # another request's answer.
    @hypothesis.settings(
        max_examples=EXAMPLE_COUNT,
        deadline=None,
        derandomize=True,
        database=None,
    )
    @hypothesis.given(ANSWERS)
    def test_drawn_answer_is_believed_only_as_far_as_it_proves(self, answer):
        outcome, record_count = check(answer)
        self.assertEqual(
            answer.refuses and answer.whole,
            isinstance(outcome, errors.NotRunError),
        )
        self.assertEqual(
            answer.may_be_passed_on, isinstance(outcome, ports.ResponseHead)
        )
        self.assertEqual(int(answer.is_own), record_count)

    # Guards against the same at prefill engines, which do not stamp.
    def test_any_answer_that_needs_no_stamp_is_passed_on_only_as_own(self):
        for number in range(ANSWER_COUNT):
            answer = make_answer(number)
            verdict = answers.judge(OWN_ID, answer.head, needs_stamp=False)
            may_be_passed_on = (
                answer.is_own
                and not answer.marked
                and answer.status not in PROMISES
            )
            self.assertEqual(may_be_passed_on, verdict is RUN, answer)
            self.assertEqual(answer.refuses, verdict is NOT_RUN, answer)
