"""The acting leader's table of session leases."""

import collections
import threading

from masticquay_control import commands
from masticquay_control import machines
from masticquay_membership import messages as membership
from masticquay_membership import operator_messages
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors

TTL_MS = 3_000
DRIFT_MARGIN_MS = 150
# A change older than this must have been applied by whoever renews.
PUSH_GRACE_MS = 500
GATHER_MS = 200
JOIN_TIMEOUT_MS = 3_000
ADOPTED_REUSE_MS = 20


class Session:
    """One host's lease as the leader counts it.

    :param host: as the host described itself last
    :param listed: as the view has it
    """

    __slots__ = (
        'host',
        'listed',
        'renewed_ms',
        'applied_index',
        'view_number',
        'given_up',
        'evicting',
    )

    def __init__(self, host: membership.Host, renewed_ms: int):
        self.host = host
        self.listed = host
        self.renewed_ms = renewed_ms
        self.applied_index = 0
        self.view_number = 0
        self.given_up = False
        self.evicting = False

    def expired(self, now_ms: int) -> bool:
        """Whether the host has stopped by itself."""
        age_ms = now_ms - self.renewed_ms
        return self.given_up or age_ms > TTL_MS + DRIFT_MARGIN_MS


class _Mark:
    """When a change was first seen here."""

    __slots__ = ('index', 'seen_ms')

    def __init__(self, index: int, seen_ms: int):
        self.index = index
        self.seen_ms = seen_ms


class LeaseTable:
    """Grants leases, and plans the next view.

    Leases count from the receipt of a renewal, so that they outlast what
    the host counts from sending it.
    """

    def __init__(self, machine: machines.ControlMachine, clock: clocks.Clock):
        self._machine = machine
        self._clock = clock
        self._lock = threading.RLock()
        self._sessions: dict[str, Session] = {}
        self._joining: dict[str, Session] = {}
        self._marks: collections.deque[_Mark] = collections.deque()
        self._view_number = -1
        self._plan_due_ms = 0
        self._adopted_number = 0
        self._adopted_until_ms = 0
        self.renewed_count = 0
        self.refused_count = 0
        self.evicted_count = 0

    def begin(self) -> None:
        """Begins a leadership: all live hosts count as renewed now."""
        with self._lock:
            self._sessions.clear()
            self._joining.clear()
            self._marks.clear()
            self._view_number = -1
            self._plan_due_ms = 0
            self._refresh()

    def renew(
        self, message: membership.RenewSession
    ) -> membership.SessionRenewed:
        """Grants a lease from now on, or notes that a host wants to join.

        :raises RemoteError: ``evicted`` when the incarnation has ended,
            ``adopt-view`` when it has not applied what was pushed
        """
        with self._machine.lock, self._lock:
            self._refresh()
            host = message.host
            views = self._machine.views
            if not views.may_join(host.name, host.incarnation):
                raise self._refusal(membership.CODE_EVICTED, host.name)
            if not views.is_live(host.name, host.incarnation):
                return self._note_joining(message)
            session = self._sessions[host.name]
            if session.evicting or session.given_up:
                raise self._refusal(membership.CODE_EVICTED, host.name)
            if session.host != host:
                session.host = host
            _note_applied(session, message.applied_index, message.view_number)
            if not self._is_current(session):
                raise self._refusal(membership.CODE_ADOPT_VIEW, host.name)
            session.renewed_ms = self._clock.now_ms()
            self.renewed_count += 1
            return self._answer(TTL_MS)

    def note_applied(self, message: membership.ChangesApplied) -> None:
        """Notes what a host has applied."""
        with self._lock:
            session = self._sessions.get(message.host)
            if session and session.host.incarnation == message.incarnation:
                _note_applied(
                    session, message.applied_index, message.view_number
                )

    def give_up(self, message: membership.CloseSession) -> None:
        """Notes that a host has stopped."""
        with self._machine.lock, self._lock:
            self._refresh()
            session = self._sessions.get(message.host)
            if session and session.host.incarnation == message.incarnation:
                session.given_up = True

    def plan(self) -> commands.ChangeView | None:
        """Returns the next view change once its gathering time is over.

        No host removed by it gets its lease renewed from then on, until
        ``abandon`` is called.
        """
        with self._machine.lock, self._lock:
            self._refresh()
            now_ms = self._clock.now_ms()
            expired = [s for s in self._sessions.values() if s.expired(now_ms)]
            put = self._changed_hosts(expired) + self._joiners(now_ms, expired)
            if not expired and not put:
                self._plan_due_ms = 0
                return None
            if not self._plan_due_ms:
                self._plan_due_ms = now_ms + GATHER_MS
            if now_ms < self._plan_due_ms:
                return None
            self._plan_due_ms = 0
            for session in expired:
                session.evicting = True
            removed = [
                commands.Removal(s.host.name, s.host.incarnation)
                for s in expired
            ]
            self.evicted_count += len(removed)
            number = self._machine.views.view.number
            return commands.ChangeView(number, put, removed)

    def abandon(self) -> None:
        """Takes a planned view change back: it was not committed."""
        with self._lock:
            for session in self._sessions.values():
                session.evicting = False

    def adopted_view_number(self) -> int:
        """Returns the newest view that every live host has adopted."""
        with self._machine.lock, self._lock:
            self._refresh()
            return self._adopted()

    def progress(self, index: int) -> operator_messages.Progress:
        """Says which hosts have not applied a change."""
        with self._machine.lock, self._lock:
            self._refresh()
            pending = sorted(
                name
                for name, session in self._sessions.items()
                if session.applied_index < index
            )
            committed = index <= self._machine.change_index
            return operator_messages.Progress(
                index,
                committed and not pending,
                pending,
                self._machine.views.evicted_since(index),
                len(self._sessions),
            )

    def _refresh(self) -> None:
        """Follows the state machine's view and changes."""
        now_ms = self._clock.now_ms()
        index = self._machine.change_index
        if not self._marks or self._marks[-1].index < index:
            self._marks.append(_Mark(index, now_ms))
        view = self._machine.views.view
        if view.number == self._view_number:
            return
        self._view_number = view.number
        self._adopted_until_ms = 0
        sessions = {}
        for host in view.hosts:
            session = self._sessions.get(host.name)
            if session is None or session.host.incarnation != host.incarnation:
                session = Session(host, now_ms)
                self._take_over(session)
            session.listed = host
            if session.host == host:
                session.host = host
            sessions[host.name] = session
        self._sessions = sessions

    def _take_over(self, session: Session) -> None:
        joined = self._joining.pop(session.host.name, None)
        if joined and joined.host.incarnation == session.host.incarnation:
            session.applied_index = joined.applied_index
            session.view_number = joined.view_number

    def _note_joining(
        self, message: membership.RenewSession
    ) -> membership.SessionRenewed:
        session = Session(message.host, self._clock.now_ms())
        _note_applied(session, message.applied_index, message.view_number)
        self._joining[message.host.name] = session
        return self._answer(0)

    def _joiners(
        self, now_ms: int, expired: list[Session]
    ) -> list[membership.Host]:
        gone = {session.host.name for session in expired}
        joiners = []
        for name, session in list(self._joining.items()):
            if now_ms - session.renewed_ms > JOIN_TIMEOUT_MS:
                del self._joining[name]
                continue
            free = name in gone or name not in self._sessions
            if free and self._is_current(session):
                joiners.append(session.host)
        return joiners

    def _changed_hosts(self, expired: list[Session]) -> list[membership.Host]:
        return [
            session.host
            for session in self._sessions.values()
            if session.host is not session.listed and session not in expired
        ]

    def _is_current(self, session: Session) -> bool:
        """Whether a host applied all that was pushed a while ago."""
        due_ms = self._clock.now_ms() - PUSH_GRACE_MS
        while len(self._marks) > 1 and self._marks[1].seen_ms <= due_ms:
            self._marks.popleft()
        oldest = self._marks[0]
        return oldest.seen_ms > due_ms or session.applied_index >= oldest.index

    def _adopted(self) -> int:
        """Works the number out anew after a while; it only rises."""
        now_ms = self._clock.now_ms()
        if now_ms >= self._adopted_until_ms:
            numbers = [s.view_number for s in self._sessions.values()]
            current = self._machine.views.view.number
            self._adopted_number = min(numbers, default=current)
            self._adopted_until_ms = now_ms + ADOPTED_REUSE_MS
        return self._adopted_number

    def _answer(self, ttl_ms: int) -> membership.SessionRenewed:
        number = self._machine.views.view.number
        return membership.SessionRenewed(ttl_ms, number, self._adopted())

    def _refusal(self, code: str, host: str) -> wire_errors.RemoteError:
        self.refused_count += 1
        return wire_errors.RemoteError(code, host)


def _note_applied(
    session: Session, applied_index: int, view_number: int
) -> None:
    session.applied_index = max(session.applied_index, applied_index)
    session.view_number = max(session.view_number, view_number)
