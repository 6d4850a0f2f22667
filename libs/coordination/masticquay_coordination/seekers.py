"""Entry hosts that look for the leader at this replica."""

import contextlib
import functools
import logging
import threading
import typing

from masticquay_coordination import table_updates
from masticquay_coordination import updates
from masticquay_routing import messages
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages as wire_messages
from masticquay_wire import peers

LOG = logging.getLogger(__name__)

# A host that has asked nothing for this long has found the leader elsewhere.
SEARCH_TTL_MS = 2_000


class _Seeker:
    """A host that asked this replica for the leader.

    :param version: the version of its table when it asked last
    """

    __slots__ = (
        'link',
        'version',
        'evacuations_number',
        'asked_ms',
        'sent',
    )

    def __init__(self, link: peers.Connection):
        self.link = link
        self.version = -1
        self.evacuations_number = 0
        self.asked_ms = 0
        self.sent = updates.SentUpdates()


class Seekers:
    """Gives hosts without a leader the newest committed table and evacuations.

    Any replica has it, so a host that reaches one of them misses no change
    while it cannot reach the leader, or while there is none.

    A replica that has just started holds the table of its last snapshot. It is
    no harm to a host with an older one, but a host without a table would use
    it with the keys that were withdrawn since. Such a host gets it only once a
    leader has told this replica what is committed.

    :param newest: the newest table that this replica has applied
    :param has_caught_up: whether a leader has done so since the start
    """

    def __init__(
        self,
        newest: table_updates.TableUpdates,
        has_caught_up: typing.Callable[[], bool],
        clock: clocks.Clock,
    ):
        self._newest = newest
        self._has_caught_up = has_caught_up
        self._clock = clock
        self._lock = threading.Lock()
        self._seekers: dict[str, _Seeker] = {}

    def add(self, renewal: messages.Renew, link: peers.Connection) -> None:
        """Records a host that asks, and sends it the table if it lacks it."""
        now_ms = self._clock.now_ms()
        with self._lock:
            seeker = self._seekers.get(renewal.host)
            is_new = seeker is None or seeker.link is not link
            if is_new:
                seeker = self._seekers[renewal.host] = _Seeker(link)
            seeker.version = renewal.table_version
            seeker.asked_ms = now_ms
        if is_new:
            link.on_close(functools.partial(self._forget, renewal.host, link))
        self._send_evacuations(renewal.host, seeker)
        self._send_table(renewal.host, seeker, now_ms)

    def publish_table(self) -> None:
        """Sends the newest table to the hosts that asked recently."""
        now_ms = self._clock.now_ms()
        for host, seeker in self._recent(now_ms):
            self._send_table(host, seeker, now_ms)

    def publish_evacuations(self) -> None:
        """Sends the evacuated places to the hosts that asked recently."""
        for host, seeker in self._recent(self._clock.now_ms()):
            self._send_evacuations(host, seeker)

    def _recent(self, now_ms: int) -> list[tuple[str, _Seeker]]:
        with self._lock:
            return [
                (host, seeker)
                for host, seeker in self._seekers.items()
                if now_ms - seeker.asked_ms < SEARCH_TTL_MS
            ]

    def announce(self, message: wire_messages.Message) -> None:
        """Sends a notice to all hosts that asked, and forgets them."""
        with self._lock:
            links = [seeker.link for seeker in self._seekers.values()]
            self._seekers.clear()
        for link in links:
            with contextlib.suppress(wire_errors.WireError):
                link.notify(message)

    def _send_table(self, host: str, seeker: _Seeker, now_ms: int) -> None:
        update = self._newest.get()
        if update is None or update.number <= seeker.version:
            return
        if seeker.version < 0 and not self._has_caught_up():
            return
        with self._lock:
            if not seeker.sent.is_due(update, now_ms):
                return
            seeker.sent.record(update, now_ms)
        # A lost link is not told: the host asks again over the next one.
        with contextlib.suppress(wire_errors.WireError):
            seeker.link.notify_encoded(update.notice)
        LOG.info(
            'table sent to a host without a leader',
            extra={
                'entry_host': host,
                'version': update.number,
                'held_version': seeker.version,
            },
        )

    def _send_evacuations(self, host: str, seeker: _Seeker) -> None:
        """Sends the evacuated places once over each link of a host.

        A link that is lost before they arrive makes the host ask over another.
        """
        update = self._newest.evacuations()
        if update is None:
            return
        with self._lock:
            if update.number <= seeker.evacuations_number:
                return
            seeker.evacuations_number = update.number
        with contextlib.suppress(wire_errors.WireError):
            seeker.link.notify_encoded(update.notice)
        LOG.info(
            'evacuated places sent to a host without a leader',
            extra={'entry_host': host, 'number': update.number},
        )

    def _forget(self, host: str, link: peers.Connection) -> None:
        with self._lock:
            seeker = self._seekers.get(host)
            if seeker is not None and seeker.link is link:
                del self._seekers[host]
