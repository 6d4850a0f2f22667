"""Tests of what callers are promised, over drawn sequences of attempts."""

import logging
import unittest

import hypothesis
from hypothesis import strategies

from tests import drawn_attempts
from tests import promise_plays

EXAMPLE_COUNT = 10_000
MAX_ATTEMPTS = 5
ATTEMPTS = strategies.lists(
    strategies.builds(
        drawn_attempts.Attempt,
        strategies.integers(0, drawn_attempts.ANSWER_COUNT - 1),
        strategies.integers(0, drawn_attempts.EVENT_COUNT - 1),
    ),
    min_size=1,
    max_size=MAX_ATTEMPTS,
)
OPTIONS = strategies.builds(
    drawn_attempts.Options,
    strategies.integers(0, drawn_attempts.OPTION_COUNT - 1),
    strategies.integers(0, drawn_attempts.PLACEMENT_COUNT - 1),
)
# Statuses of refusals that promise nothing.
NO_PROMISES = (502, 504)


class PromisesTest(unittest.TestCase):
    def setUp(self):
        # Each attempt that fails has a line in the log.
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)

    # Incident REFUSED: requests ran whose callers had been told that they had
    # not run and never would. Guards against such a promise after any
    # sequence of attempts, against a true one that is lost, and against a
    # second run of a request that may run once only.
    @hypothesis.settings(
        max_examples=EXAMPLE_COUNT,
        deadline=None,
        derandomize=True,
        database=None,
    )
    @hypothesis.given(OPTIONS, ATTEMPTS)
    def test_drawn_attempts_are_refused_with_a_promise_if_none_ran(
        self, options, attempts
    ):
        play = promise_plays.Play(options, attempts)
        play.serve()
        self.check_runs(play)
        self.check_reply(play)
        self.assertNotIn('promises_contradicted', play.registry.render())

    def check_runs(self, play):
        """Checks that nothing follows an attempt that may have run."""
        if not play.options.may_run_again:
            for run in play.runs[:-1]:
                self.assertTrue(run.proves_not_run, play.runs)

    def check_reply(self, play):
        reply = play.reply
        none_ran = all(run.proves_not_run for run in play.runs)
        if play.was_interrupted:
            self.assertTrue(reply.aborted)
        elif none_ran:
            self.assertIn(reply.status, (429, 503), play.runs)
        elif any(run.proves_run for run in play.runs):
            self.assertNotIn(reply.status, drawn_attempts.PROMISES, play.runs)
        else:
            self.assertIn(reply.status, NO_PROMISES, play.runs)
