"""A host's session with control: its lease, its watch and its calls."""

import itertools
import logging
import os
import threading

from masticquay_membership import clients
from masticquay_membership import errors
from masticquay_membership import intent_messages
from masticquay_membership import messages as membership
from masticquay_membership import protocols
from masticquay_membership import states
from masticquay_membership import usage_messages
from masticquay_wire import clocks
from masticquay_wire import dialers
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages

LOG = logging.getLogger(__name__)

RENEW_INTERVAL_MS = 1_000
JOIN_INTERVAL_MS = 100
ADOPTION_INTERVAL_MS = 300
LEADERLESS_INTERVAL_MS = 200
MAX_LEADERLESS_RENEWALS = 5
RENEW_TIMEOUT_MS = 800
OPEN_TIMEOUT_MS = 5_000
CLOSE_TIMEOUT_MS = 1_000
TOKEN_BYTES = 16


class Session:
    """Keeps a host in the view; implements ``protocols.Membership``.

    One thread opens the session and renews the lease, over a link that also
    carries the pushed changes. It moves to the next replica when one does
    not answer.

    :param host: its incarnation is set by control
    """

    def __init__(
        self,
        client: clients.ControlClient,
        host: membership.Host,
        name: str,
        secret: bytes,
        clock: clocks.Clock | None = None,
    ):
        self._client = client
        self._host = host
        self._name = name
        self._secret = secret
        self._clock = clock or clocks.MonotonicClock()
        self._holder = states.StateHolder()
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._closed = False
        self._lease_end_ms = 0
        self._call_numbers = itertools.count(1)
        self._begun: dict[tuple[str, str], int] = {}
        self._replica = 0
        self._leaderless_count = 0
        self._moved_before_bytes = 0
        self._link: dialers.WebsocketPeer | None = None
        self._thread = threading.Thread(
            target=self._run, name='session', daemon=True
        )
        self.renewed_count = 0
        self.failed_renewal_count = 0
        self.opened_count = 0

    def start(self) -> None:
        """Starts the session's thread."""
        self._thread.start()

    @property
    def host(self) -> membership.Host:
        """This host, as others see it."""
        return self._host

    @property
    def moved_bytes(self) -> int:
        """Payload sent and received over the session's links."""
        link = self._link
        present_bytes = _count_bytes(link) if link is not None else 0
        return self._moved_before_bytes + present_bytes

    def state(self) -> protocols.HostState:
        """Returns the newest applied state."""
        return self._holder.state

    def lease_valid(self) -> bool:
        """Whether this host may serve keyed work and act as an owner."""
        return self._clock.now_ms() < self._lease_end_ms

    def add_listener(self, listener: protocols.StateListener) -> None:
        """Calls the listener with the old and the new state."""
        self._holder.add_listener(listener)

    def begin_intent(
        self, intent: intent_messages.BeginIntent, timeout_ms: int
    ) -> intent_messages.IntentState:
        """Commits an intent.

        :raises MembershipError: when it may or may not have been committed;
            the caller must not send the call
        """
        number = next(self._call_numbers)
        stamped = intent_messages.BeginIntent(
            intent.workspace,
            intent.idempotency_key,
            intent.request_digest,
            intent.host,
            intent.incarnation,
            number,
        )
        try:
            answer = self._call(stamped, timeout_ms)
        except errors.RefusedError:
            raise
        except errors.MembershipError:
            self._note_begun(intent, number)
            raise
        if answer.state == intent_messages.INTENT_BEGUN:
            self._note_begun(intent, number)
        return answer

    def _note_begun(
        self, intent: intent_messages.BeginIntent, number: int
    ) -> None:
        """Keeps the number of a call that has, or may have, been begun."""
        with self._lock:
            self._begun[_key_of(intent)] = number

    def finish_intent(
        self, finish: intent_messages.FinishIntent, timeout_ms: int
    ) -> None:
        """Commits the outcome of a call.

        :raises MembershipError: when it may not have been committed
        """
        with self._lock:
            number = self._begun.get(_key_of(finish), 0)
        stamped = intent_messages.FinishIntent(
            finish.workspace,
            finish.idempotency_key,
            finish.host,
            finish.incarnation,
            finish.outcome,
            finish.answer,
            number,
        )
        self._call(stamped, timeout_ms)
        with self._lock:
            if self._begun.get(_key_of(finish)) == number:
                del self._begun[_key_of(finish)]

    def report_usage(
        self, report: usage_messages.ReportUsage, timeout_ms: int
    ) -> None:
        """Commits a usage batch; the same sequence may be sent again.

        :raises MembershipError: when it may not have been committed
        """
        self._call(report, timeout_ms)

    def leave(self) -> None:
        """Marks this host as leaving in the next view."""
        with self._lock:
            self._host = _copy_host(
                self._host, self._host.incarnation, leaving=True
            )
        self._wake.set()

    def close(self) -> None:
        """Ends the session; the lease is given up at once."""
        with self._lock:
            if self._closed:
                return
            self._closed = True
            self._lease_end_ms = 0
        self._wake.set()
        if self._thread.is_alive():
            self._thread.join(2 * RENEW_TIMEOUT_MS / 1000)
        link = self._take_link()
        if link is not None:
            link.close()
        if self._host.incarnation:
            self._give_up()

    def _give_up(self) -> None:
        message = membership.CloseSession(
            self._host.name, self._host.incarnation
        )
        try:
            self._client.call(message, CLOSE_TIMEOUT_MS)
        except (errors.MembershipError, wire_errors.WireError):
            LOG.warning('control was not told that the session ended')

    def _call(
        self, message: messages.Message, timeout_ms: int
    ) -> messages.Message:
        try:
            return self._client.call(message, timeout_ms)
        except wire_errors.RemoteError as cause:
            raise errors.RefusedError(cause.code, cause.detail) from cause
        except wire_errors.WireError as cause:
            raise errors.MembershipError(str(cause)) from cause

    def _run(self) -> None:
        while not self._closed:
            try:
                self._run_once()
            except Exception:
                LOG.exception('a renewal failed')
                self._pause(JOIN_INTERVAL_MS)

    def _run_once(self) -> None:
        if not self._host.incarnation and not self._open():
            self._pause(JOIN_INTERVAL_MS)
            return
        started_ms = self._clock.now_ms()
        pause_ms = self._renew()
        spent_ms = self._clock.now_ms() - started_ms
        self._pause(max(0, pause_ms - spent_ms))

    def _pause(self, duration_ms: int) -> None:
        self._wake.wait(duration_ms / 1000)
        self._wake.clear()

    def _open(self) -> bool:
        """Asks for an incarnation number."""
        token = os.urandom(TOKEN_BYTES)
        message = membership.OpenSession(self._host.name, token)
        try:
            answer = self._client.call(message, OPEN_TIMEOUT_MS)
        except (errors.MembershipError, wire_errors.WireError):
            return False
        with self._lock:
            self._host = _copy_host(
                self._host, answer.incarnation, self._host.leaving
            )
            self.opened_count += 1
        LOG.info('session opened', extra={'incarnation': answer.incarnation})
        return True

    def _renew(self) -> int:
        """Renews the lease once; returns the pause until the next time."""
        state = self._holder.state
        message = membership.RenewSession(
            self._host, state.view.number, state.applied_index
        )
        sent_ms = self._clock.now_ms()
        try:
            answer = self._find_link().call(message, RENEW_TIMEOUT_MS)
        except wire_errors.RemoteError as cause:
            return self._take_refusal(cause)
        except wire_errors.WireError:
            self._move_on()
            return JOIN_INTERVAL_MS
        self._leaderless_count = 0
        self._holder.adopt(answer.adopted_view_number)
        if not answer.ttl_ms:
            return JOIN_INTERVAL_MS
        with self._lock:
            if not self._closed:
                self._lease_end_ms = sent_ms + answer.ttl_ms
        self.renewed_count += 1
        if answer.adopted_view_number < self._holder.state.view.number:
            return ADOPTION_INTERVAL_MS
        return RENEW_INTERVAL_MS

    def _take_refusal(self, cause: wire_errors.RemoteError) -> int:
        self.failed_renewal_count += 1
        if cause.code == membership.CODE_EVICTED:
            LOG.warning(
                'session ended by control',
                extra={'incarnation': self._host.incarnation},
            )
            with self._lock:
                self._lease_end_ms = 0
                self._host = _copy_host(self._host, 0, self._host.leaving)
        elif cause.code == membership.CODE_ADOPT_VIEW:
            self._subscribe()
        elif cause.code == membership.CODE_NO_LEADER:
            return self._wait_for_leader()
        else:
            self._move_on()
        return JOIN_INTERVAL_MS

    def _wait_for_leader(self) -> int:
        """Stays with a replica for the time of an election, then leaves it.

        It may have lost the others, while they have a leader.
        """
        self._leaderless_count += 1
        if self._leaderless_count >= MAX_LEADERLESS_RENEWALS:
            self._leaderless_count = 0
            self._move_on()
        return LEADERLESS_INTERVAL_MS

    def _find_link(self) -> dialers.WebsocketPeer:
        with self._lock:
            if self._link is not None:
                return self._link
            link = dialers.WebsocketPeer(
                self._client.addresses[self._replica],
                self._name,
                self._secret,
                on_notice=self._take_notice,
                on_connect=self._subscribe,
                keep_open=True,
            )
            self._link = link
        if link.connected:
            # It may have connected before it was the session's link.
            self._subscribe()
        return link

    def _move_on(self) -> None:
        """Leaves a replica that does not answer for the next one."""
        self.failed_renewal_count += 1
        self._replica = (self._replica + 1) % len(self._client.addresses)
        if len(self._client.addresses) > 1:
            link = self._take_link()
            if link is not None:
                # A close may wait for a dial, longer than the lease allows.
                threading.Thread(target=link.close, daemon=True).start()

    def _take_link(self) -> dialers.WebsocketPeer | None:
        with self._lock:
            link, self._link = self._link, None
            if link is not None:
                self._moved_before_bytes += _count_bytes(link)
        return link

    def _subscribe(self) -> None:
        self._notify(membership.Subscribe(self._holder.state.applied_index))

    def _take_notice(self, notice: messages.Message) -> None:
        if isinstance(notice, membership.PackedUpdate):
            notice = messages.unpack(notice.body)
        if not isinstance(notice, membership.StateUpdate):
            return
        view_number = self._holder.state.view.number
        if not self._holder.apply(notice):
            if notice.from_index > self._holder.state.applied_index:
                self._subscribe()
            return
        state = self._holder.state
        self._notify(
            membership.ChangesApplied(
                self._host.name,
                self._host.incarnation,
                state.applied_index,
                state.view.number,
            )
        )
        if state.view.number > view_number:
            self._wake.set()

    def _notify(self, message: messages.Message) -> None:
        link = self._link
        if link is None:
            return
        try:
            link.notify(message)
        except wire_errors.WireError:
            return


def _count_bytes(link: dialers.WebsocketPeer) -> int:
    counters = link.counters()
    return counters.sent_bytes + counters.received_bytes


def _key_of(
    message: intent_messages.BeginIntent | intent_messages.FinishIntent,
) -> tuple[str, str]:
    return (message.workspace, message.idempotency_key)


def _copy_host(
    host: membership.Host, incarnation: int, leaving: bool
) -> membership.Host:
    return membership.Host(
        host.name,
        incarnation,
        host.place,
        host.caller_address,
        host.peer_address,
        leaving,
    )
