"""The session leases that the acting leader grants to hosts."""

import collections
import logging
import threading

from masticquay_control import commands
from masticquay_control import state_machines
from masticquay_membership import messages as membership_messages
from masticquay_membership import operator_messages
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors

LOG = logging.getLogger(__name__)

TTL_MS = 3_000
# The leader waits this much longer than the lease, as clock rates differ.
CLOCK_DRIFT_MARGIN_MS = 150
# A renewal is refused while the host lacks a change older than this.
PUSH_GRACE_MS = 500
VIEW_BATCH_MS = 200
# A joining host that has not renewed for longer than this is forgotten.
JOIN_TIMEOUT_MS = 3_000
ADOPTED_CACHE_MS = 20


class HostSession:
    """What the leader knows of one host's session.

    :param host: the host's description in its last renewal
    :param renewed_ms: when the last renewal was received
    :ivar listed: the host's description in the current view
    :ivar applied_index: the log index up to which the host applied changes
    :ivar view_number: the newest view that the host has adopted
    :ivar released: the host has closed its session
    :ivar evicting: a view change that evicts the host is planned
    :ivar refusal_code: why the last renewal was refused; empty if it was not
    """

    __slots__ = (
        'host',
        'listed',
        'renewed_ms',
        'applied_index',
        'view_number',
        'released',
        'evicting',
        'refusal_code',
    )

    def __init__(self, host: membership_messages.Host, renewed_ms: int):
        self.host = host
        self.listed = host
        self.renewed_ms = renewed_ms
        self.applied_index = 0
        self.view_number = 0
        self.released = False
        self.evicting = False
        self.refusal_code = ''

    def expired(self, now_ms: int) -> bool:
        """Whether the host no longer holds its lease."""
        age_ms = now_ms - self.renewed_ms
        return self.released or age_ms > TTL_MS + CLOCK_DRIFT_MARGIN_MS


class _SeenChange:
    """The time at which the leader first saw a change index."""

    __slots__ = ('index', 'seen_ms')

    def __init__(self, index: int, seen_ms: int):
        self.index = index
        self.seen_ms = seen_ms


class LeaseTable:
    """Grants leases and plans the next view.

    A lease is counted from the receipt of the renewal, whereas the host counts
    it from sending, so that it ends at the host first.
    """

    def __init__(
        self,
        state_machine: state_machines.ControlStateMachine,
        clock: clocks.Clock,
    ):
        self._state_machine = state_machine
        self._clock = clock
        self._lock = threading.RLock()
        self._sessions: dict[str, HostSession] = {}
        self._joining: dict[str, HostSession] = {}
        self._seen_changes: collections.deque[_SeenChange] = (
            collections.deque()
        )
        self._view_number = -1
        self._change_due_ms = 0
        self._adopted_number = 0
        self._adopted_cached_until_ms = 0
        self.renewed_count = 0
        self.refused_count = 0
        self.evicted_count = 0

    def begin(self) -> None:
        """Resets the table for a new leadership.

        Every host in the view counts as renewed now.
        """
        with self._lock:
            self._sessions.clear()
            self._joining.clear()
            self._seen_changes.clear()
            self._view_number = -1
            self._change_due_ms = 0
            self._refresh()

    def renew(
        self, message: membership_messages.RenewSession
    ) -> membership_messages.SessionRenewed:
        """Renews a host's lease, or records that the host wants to join.

        :returns: a reply whose ``ttl_ms`` is 0 while the host waits to join
        :raises RemoteError: ``evicted`` when the incarnation has ended or its
            eviction is planned, ``adopt-view`` when the host lacks a change
            older than ``PUSH_GRACE_MS``
        """
        with self._state_machine.lock, self._lock:
            self._refresh()
            host = message.host
            views = self._state_machine.views
            if not views.may_join(host.name, host.incarnation):
                raise self._refusal(
                    membership_messages.CODE_EVICTED, host.name
                )
            if not views.is_live(host.name, host.incarnation):
                return self._record_joining(message)
            session = self._sessions[host.name]
            if session.evicting or session.released:
                raise self._session_refusal(
                    membership_messages.CODE_EVICTED, session
                )
            if session.host != host:
                session.host = host
            _record_applied(
                session, message.applied_index, message.view_number
            )
            if not self._is_caught_up(session):
                raise self._session_refusal(
                    membership_messages.CODE_ADOPT_VIEW, session
                )
            session.refusal_code = ''
            session.renewed_ms = self._clock.now_ms()
            self.renewed_count += 1
            return self._renewed_reply(TTL_MS)

    def record_applied(
        self, message: membership_messages.ChangesApplied
    ) -> None:
        """Records the changes that a host has applied."""
        with self._lock:
            session = self._sessions.get(message.host)
            if session and session.host.incarnation == message.incarnation:
                _record_applied(
                    session, message.applied_index, message.view_number
                )

    def release(self, message: membership_messages.CloseSession) -> None:
        """Releases the lease of a host that closed its session."""
        with self._state_machine.lock, self._lock:
            self._refresh()
            session = self._sessions.get(message.host)
            if session and session.host.incarnation == message.incarnation:
                session.released = True

    def plan_view_change(self) -> commands.ChangeView | None:
        """Returns the next view change, or None if none is due.

        Changes are collected for ``VIEW_BATCH_MS`` first. The hosts that the
        returned change evicts cannot renew from then on, unless
        ``cancel_view_change`` is called.
        """
        with self._state_machine.lock, self._lock:
            self._refresh()
            now_ms = self._clock.now_ms()
            expired = [s for s in self._sessions.values() if s.expired(now_ms)]
            put = self._changed_hosts(expired) + self._ready_joiners(
                now_ms, expired
            )
            if not expired and not put:
                self._change_due_ms = 0
                return None
            if not self._change_due_ms:
                self._change_due_ms = now_ms + VIEW_BATCH_MS
            if now_ms < self._change_due_ms:
                return None
            self._change_due_ms = 0
            for session in expired:
                session.evicting = True
                _log_eviction(session, now_ms)
            removed = [
                commands.Removal(s.host.name, s.host.incarnation)
                for s in expired
            ]
            self.evicted_count += len(removed)
            number = self._state_machine.views.view.number
            return commands.ChangeView(number, put, removed)

    def cancel_view_change(self) -> None:
        """Cancels a planned view change that was not committed."""
        with self._lock:
            for session in self._sessions.values():
                session.evicting = False

    def adopted_view_number(self) -> int:
        """Returns the newest view number that all live hosts have adopted."""
        with self._state_machine.lock, self._lock:
            self._refresh()
            return self._cached_adopted_number()

    def progress(self, index: int) -> operator_messages.Progress:
        """Returns which hosts have applied the change at a log index."""
        with self._state_machine.lock, self._lock:
            self._refresh()
            pending = sorted(
                name
                for name, session in self._sessions.items()
                if session.applied_index < index
            )
            committed = index <= self._state_machine.change_index
            return operator_messages.Progress(
                index,
                committed and not pending,
                pending,
                self._state_machine.views.evicted_since(index),
                len(self._sessions),
            )

    def _refresh(self) -> None:
        """Updates the sessions to the view, and notes a new change's time."""
        now_ms = self._clock.now_ms()
        index = self._state_machine.change_index
        if not self._seen_changes or self._seen_changes[-1].index < index:
            self._seen_changes.append(_SeenChange(index, now_ms))
        view = self._state_machine.views.view
        if view.number == self._view_number:
            return
        self._view_number = view.number
        self._adopted_cached_until_ms = 0
        sessions = {}
        for host in view.hosts:
            session = self._sessions.get(host.name)
            if session is None or session.host.incarnation != host.incarnation:
                session = HostSession(host, now_ms)
                self._copy_joining_progress(session)
            session.listed = host
            if session.host == host:
                # _changed_hosts compares the two by identity.
                session.host = host
            sessions[host.name] = session
        self._sessions = sessions

    def _copy_joining_progress(self, session: HostSession) -> None:
        joining = self._joining.pop(session.host.name, None)
        if joining and joining.host.incarnation == session.host.incarnation:
            session.applied_index = joining.applied_index
            session.view_number = joining.view_number

    def _record_joining(
        self, message: membership_messages.RenewSession
    ) -> membership_messages.SessionRenewed:
        session = HostSession(message.host, self._clock.now_ms())
        _record_applied(session, message.applied_index, message.view_number)
        self._joining[message.host.name] = session
        return self._renewed_reply(0)

    def _ready_joiners(
        self, now_ms: int, expired: list[HostSession]
    ) -> list[membership_messages.Host]:
        """Returns the joining hosts that may enter the next view.

        Each must have caught up, and an earlier incarnation of the same host
        must have left the view or have expired.
        """
        expired_names = {session.host.name for session in expired}
        joiners = []
        for name, session in list(self._joining.items()):
            if now_ms - session.renewed_ms > JOIN_TIMEOUT_MS:
                del self._joining[name]
                continue
            replaceable = name in expired_names or name not in self._sessions
            if replaceable and self._is_caught_up(session):
                joiners.append(session.host)
        return joiners

    def _changed_hosts(
        self, expired: list[HostSession]
    ) -> list[membership_messages.Host]:
        return [
            session.host
            for session in self._sessions.values()
            if session.host is not session.listed and session not in expired
        ]

    def _is_caught_up(self, session: HostSession) -> bool:
        """Whether a host has applied all changes that are past the grace time.

        Also drops older changes that no later check needs.
        """
        due_ms = self._clock.now_ms() - PUSH_GRACE_MS
        while (
            len(self._seen_changes) > 1
            and self._seen_changes[1].seen_ms <= due_ms
        ):
            self._seen_changes.popleft()
        oldest = self._seen_changes[0]
        return oldest.seen_ms > due_ms or session.applied_index >= oldest.index

    def _cached_adopted_number(self) -> int:
        """Returns the adopted view number, at most ``ADOPTED_CACHE_MS`` old.

        The number only rises, so a cached value is safe to use.
        """
        now_ms = self._clock.now_ms()
        if now_ms >= self._adopted_cached_until_ms:
            numbers = [s.view_number for s in self._sessions.values()]
            current = self._state_machine.views.view.number
            self._adopted_number = min(numbers, default=current)
            self._adopted_cached_until_ms = now_ms + ADOPTED_CACHE_MS
        return self._adopted_number

    def _renewed_reply(
        self, ttl_ms: int
    ) -> membership_messages.SessionRenewed:
        number = self._state_machine.views.view.number
        return membership_messages.SessionRenewed(
            ttl_ms, number, self._cached_adopted_number()
        )

    def _session_refusal(
        self, code: str, session: HostSession
    ) -> wire_errors.RemoteError:
        if session.refusal_code != code:
            session.refusal_code = code
            LOG.info(
                'renewal refused',
                extra={
                    'session_host': session.host.name,
                    'code': code,
                    'incarnation': session.host.incarnation,
                    'applied_index': session.applied_index,
                    'due_index': self._seen_changes[0].index,
                    'renewed_ago_ms': (
                        self._clock.now_ms() - session.renewed_ms
                    ),
                },
            )
        return self._refusal(code, session.host.name)

    def _refusal(self, code: str, host: str) -> wire_errors.RemoteError:
        self.refused_count += 1
        return wire_errors.RemoteError(code, host)


def _log_eviction(session: HostSession, now_ms: int) -> None:
    LOG.info(
        'host is evicted',
        extra={
            'session_host': session.host.name,
            'incarnation': session.host.incarnation,
            'leaving': session.host.leaving,
            'released': session.released,
            'renewed_ago_ms': now_ms - session.renewed_ms,
            'refusal_code': session.refusal_code,
        },
    )


def _record_applied(
    session: HostSession, applied_index: int, view_number: int
) -> None:
    session.applied_index = max(session.applied_index, applied_index)
    session.view_number = max(session.view_number, view_number)
