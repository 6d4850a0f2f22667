"""Periodic work that goes on after an exception."""

import logging
import threading
import traceback
import typing

LOG = logging.getLogger(__name__)


class Duty:
    """A task that a thread runs again and again.

    An exception of the task ends neither the thread nor what depends on it.
    It is logged once for each cause, the place where it was raised, until the
    task succeeds again.

    :param name: name of the duty in log lines and counters
    :param on_failure: called with the name after each exception, to count it
    :ivar failed_count: how many times the task raised an exception
    """

    __slots__ = ('_name', '_task', '_on_failure', '_causes', 'failed_count')

    def __init__(
        self,
        name: str,
        task: typing.Callable[..., typing.Any],
        on_failure: typing.Callable[[str], None] | None = None,
    ):
        self._name = name
        self._task = task
        self._on_failure = on_failure
        self._causes: dict[str, int] = {}
        self.failed_count = 0

    def run_once(self, *arguments: typing.Any) -> bool:
        """Runs the task; returns whether it raised no exception."""
        try:
            self._task(*arguments)
        except Exception as cause:
            self._record_failure(cause)
            return False
        if self._causes:
            LOG.info(
                'duty succeeds again',
                extra={'duty': self._name, 'failures': self._causes},
            )
            self._causes = {}
        return True

    def run(self, stopping: threading.Event, interval_s: float) -> None:
        """Runs the task at intervals until an event is set."""
        while not stopping.wait(interval_s):
            self.run_once()

    def _record_failure(self, cause: Exception) -> None:
        self.failed_count += 1
        place = _describe(cause)
        known = place in self._causes
        self._causes[place] = self._causes.get(place, 0) + 1
        if not known:
            LOG.exception(
                'duty failed', extra={'duty': self._name, 'place': place}
            )
        if self._on_failure is not None:
            self._on_failure(self._name)


def _describe(cause: Exception) -> str:
    """Returns the type of an exception and where it was raised."""
    frames = traceback.extract_tb(cause.__traceback__)
    if not frames:
        return type(cause).__name__
    last = frames[-1]
    return f'{type(cause).__name__} in {last.name}, line {last.lineno}'
