"""Which hosts have the newest routing table, or the newest evacuations."""

import logging
import threading

from masticquay_wire import clocks

LOG = logging.getLogger(__name__)

# Hosts that still lack a table after this time are named in a log line.
SLOW_DELIVERY_MS = 1_000
MAX_NAMED_HOSTS = 8


class Delivery:
    """The way of the newest table to the hosts with a session.

    Hosts confirm a version with their renewals. A host whose session ends is
    not waited for: it gets the table from any replica that it reaches.

    :param subject: what is delivered in place of a table, for the log
    """

    def __init__(self, clock: clocks.Clock, subject: str = 'table'):
        self._clock = clock
        self._subject = subject
        self._changed = threading.Condition()
        self._version = -1
        self._begun_ms = 0
        self._lacking: set[str] = set()
        self._lost_count = 0
        self._is_slow = False
        self._has_ended = False

    def begin(self, version: int, lacking: set[str]) -> None:
        """Begins the delivery of a table, which replaces an earlier one.

        :param lacking: the hosts that do not have it yet
        """
        with self._changed:
            if version <= self._version:
                return
            self._version = version
            self._begun_ms = self._clock.now_ms()
            self._lacking = lacking
            self._lost_count = 0
            self._is_slow = False
            self._changed.notify_all()
            if not lacking:
                self._log_complete()

    def confirm(self, host: str, version: int) -> None:
        """Records that a host has a version."""
        with self._changed:
            if version >= self._version:
                self._remove(host)

    def drop(self, host: str) -> None:
        """Records that the session of a host ended."""
        with self._changed:
            if host in self._lacking:
                self._lost_count += 1
            self._remove(host)

    def end(self) -> None:
        """Ends all waits, as this replica no longer leads."""
        with self._changed:
            self._has_ended = True
            self._changed.notify_all()

    def wait(self, version: int, timeout_s: float) -> bool:
        """Waits until no host lacks a version.

        :returns: whether none does
        """
        with self._changed:
            self._changed.wait_for(
                lambda: self._has_ended or self._is_complete(version),
                timeout_s,
            )
            return self._is_complete(version)

    def lacking(self) -> list[str]:
        """Returns the hosts that have not confirmed the newest version."""
        with self._changed:
            return sorted(self._lacking)

    def _is_complete(self, version: int) -> bool:
        """Whether no host lacks a version; the caller holds the lock."""
        return self._version >= version and not self._lacking

    def log_slow(self) -> None:
        """Logs once which hosts still lack the table after a while."""
        with self._changed:
            age_ms = self._clock.now_ms() - self._begun_ms
            if not self._lacking or self._is_slow:
                return
            if age_ms < SLOW_DELIVERY_MS:
                return
            self._is_slow = True
            lacking = sorted(self._lacking)
            version = self._version
        LOG.warning(
            f'hosts lack the newest {self._subject}',
            extra={
                'version': version,
                'age_ms': age_ms,
                'count': len(lacking),
                'entry_hosts': lacking[:MAX_NAMED_HOSTS],
            },
        )

    def _remove(self, host: str) -> None:
        """Removes a host; the caller holds the lock."""
        if host not in self._lacking:
            return
        self._lacking.discard(host)
        if self._lacking:
            return
        self._changed.notify_all()
        self._log_complete()

    def _log_complete(self) -> None:
        LOG.info(
            f'{self._subject} in force at all hosts with a session',
            extra={
                'version': self._version,
                'duration_ms': self._clock.now_ms() - self._begun_ms,
                'lost_sessions': self._lost_count,
            },
        )
