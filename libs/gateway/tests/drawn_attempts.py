"""Attempts at a request and options of a play, drawn from numbers.

What is true of an attempt is written here a second time, from the platform's
pages.
"""

from masticquay_gateway import errors
from masticquay_gateway import exchanges
from masticquay_gateway import streams
from masticquay_routing import tables

OWN_ID = 'c1'
# To a caller, these promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)
# Answers with these may bear the mark of a request that was not run.
MARKABLE_STATUSES = (400, 421, 429, 503)
SEND_ERRORS = {
    'not sent': exchanges.NotSentError,
    'reset': exchanges.EndpointError,
    'stalled': exchanges.StalledError,
    'unfinished': exchanges.ExchangeTimeoutError,
    'no memory': exchanges.BudgetTimeoutError,
    'interrupted': exchanges.InterruptedCallError,
    'no path': errors.NoPathError,
    'path lost': lambda detail: errors.PathLostError(detail, False),
    'path silent': lambda detail: errors.PathLostError(detail, True),
    'peer broken': errors.PeerBrokenError,
    'ended': errors.EndpointEndedError,
}
NOT_SENT_FATES = ('not sent', 'no path')
# Two thirds of the attempts are answered.
FATES = ('answered',) * 14 + ('not sent', *SEND_ERRORS)
STATUSES = (200, 200, 200, 503, 503, 503, 429, 421, 400, 404, 408, 500, 504)
# Own, missing, other, doubled, and both own and other.
ID_LISTS = (
    *[[OWN_ID]] * 6,
    [],
    ['c0'],
    [OWN_ID, OWN_ID],
    [OWN_ID, 'c0'],
)
# The value of the mark, and whether it is one of a refusal.
MARKS = (None, None, None, '1', '1', 'denied')
# Headers of notices.
NOTICES = ((), (), (), (), (('Leaving', '1'),), (('Pause-Ms', '9000'),))
PLACEMENTS = ('whole',) * 3 + ('split',) * 3 + ('full', 'rate')
# Answers to an earlier request of the connection that come before the own
# one; the last is one more than are read.
LATE_COUNTS = (0, 0, 0, 1, 4, 5)
MAX_LATE_COUNT = 4
# A prime. Small numbers, which hypothesis prefers, make any choice with it.
SPREAD = 15_485_863
RARELY = (False,) * 5 + (True,)


class Draws:
    """Takes choices one after another from a number below ``count``."""

    def __init__(self, number, count):
        self.number = number * SPREAD % count

    def choose(self, choices):
        self.number, index = divmod(self.number, len(choices))
        return choices[index]


class Attempt:
    """How one send ends.

    :ivar whole: whether the answer is read to its end
    :ivar stamped: whether it has the stamp of an endpoint that ran it
    :ivar event_count: events of a stream before it breaks off
    :ivar ends_time: whether the request's time is over then
    :ivar late_count: answers to an earlier request that come first
    :ivar quarantines: whether its prompt is quarantined meanwhile

    :param answer_number: below ``ANSWER_COUNT``
    :param event_number: below ``EVENT_COUNT``
    """

    def __init__(self, answer_number, event_number):
        draws = Draws(answer_number, ANSWER_COUNT)
        self.fate = draws.choose(FATES)
        self.status = draws.choose(STATUSES)
        self.ids = draws.choose(ID_LISTS)
        self.mark = draws.choose(MARKS)
        self.stamped = draws.choose((False, True))
        self.whole = draws.choose((True, True, False))
        self.event_count = draws.choose((0, 1, 2))
        draws = Draws(event_number, EVENT_COUNT)
        self.notice = draws.choose(NOTICES)
        self.ends_time = draws.choose(RARELY)
        self.quarantines = draws.choose(RARELY)
        self.late_count = draws.choose(LATE_COUNTS)

    def __repr__(self):
        return f'Attempt({vars(self)})'

    @property
    def is_own(self):
        return set(self.ids) == {OWN_ID}

    @property
    def is_reached(self):
        """Whether its answer is read."""
        return self.fate == 'answered' and self.late_count <= MAX_LATE_COUNT

    @property
    def proves_not_run(self):
        """Whether nothing ran, for certain."""
        if self.fate in NOT_SENT_FATES:
            return True
        return (
            self.is_reached
            and self.is_own
            and self.whole
            and not self.stamped
            and self.status in MARKABLE_STATUSES
            and (self.mark == '1' or (self.status == 421 and not self.mark))
        )

    @property
    def proves_run(self):
        """Whether its answer is one that may be passed on."""
        return (
            self.is_reached
            and self.is_own
            and self.stamped
            and self.mark is None
            and self.status not in PROMISES
        )

    @property
    def headers(self):
        pairs = [('Call', call_id) for call_id in self.ids]
        if self.mark is not None:
            pairs.append(('Not-Run', self.mark))
        if self.stamped:
            pairs.append(('Stamp', 's'))
        return [*pairs, *self.notice]


ANSWER_COUNT = (
    len(FATES) * len(STATUSES) * len(ID_LISTS) * len(MARKS) * 2 * 3 * 3
)
EVENT_COUNT = len(NOTICES) * len(RARELY) ** 2 * len(LATE_COUNTS)


class Options:
    """What does not change during a play.

    :ivar is_model: whether model engines run the request
    :ivar kind: how often the route lets it run
    :ivar placements: what placing it brings, in turn

    :param number: below ``OPTION_COUNT``
    :param placement_number: below ``PLACEMENT_COUNT``
    """

    def __init__(self, number, placement_number):
        draws = Draws(number, OPTION_COUNT)
        self.is_model = draws.choose((True, False))
        self.kind = draws.choose(
            (tables.RouteKind.ONCE, tables.RouteKind.IDEMPOTENT)
        )
        self.resumable = draws.choose((False, True))
        self.attempts = draws.choose((1, 2, 3))
        self.budget_slack = draws.choose((10, 10, 0))
        self.over_rate = draws.choose(RARELY)
        self.is_late = draws.choose(RARELY)
        self.permits = draws.choose((1_000, 1_000, 1, 0))
        self.has_limits = draws.choose((False, False, True))
        self.prompt_tokens = draws.choose((200, 3_000))
        self.endpoint_count = draws.choose((3, 3, 3, 3, 1, 0))
        self.trial_wait_ms = draws.choose((0, 100))
        draws = Draws(placement_number, PLACEMENT_COUNT)
        self.placements = [
            draws.choose(PLACEMENTS) for _ in range(streams.MAX_ATTEMPTS)
        ]

    def __repr__(self):
        return f'Options({vars(self)})'

    @property
    def may_run_again(self):
        """Whether the request may run more than once."""
        if self.is_model:
            return self.resumable
        return self.kind is tables.RouteKind.IDEMPOTENT


OPTION_COUNT = 2 * 2 * 2 * 3 * 3 * len(RARELY) ** 2 * 4 * 3 * 2 * 6 * 2
PLACEMENT_COUNT = len(PLACEMENTS) ** streams.MAX_ATTEMPTS
