"""A host's session with control: its lease, subscription and calls."""

import itertools
import logging
import os
import threading

from masticquay_membership import clients
from masticquay_membership import errors
from masticquay_membership import intent_messages
from masticquay_membership import messages as membership_messages
from masticquay_membership import protocols
from masticquay_membership import renewal_logs
from masticquay_membership import replica_choices
from masticquay_membership import states
from masticquay_membership import usage_messages
from masticquay_wire import clocks
from masticquay_wire import dialers
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages

LOG = logging.getLogger(__name__)

# Delays until the next renewal: after a normal one, and while some live host
# has not adopted the view.
RENEW_INTERVAL_MS = 1_000
ADOPTION_INTERVAL_MS = 300
RENEW_TIMEOUT_MS = 800
OPEN_TIMEOUT_MS = 5_000
CLOSE_TIMEOUT_MS = 1_000
SESSION_TOKEN_BYTES = 16


class Session:
    """Keeps a host in the view; implements ``protocols.Membership``.

    A thread opens the session and renews the lease. It renews over a link to
    one replica, which also pushes state updates over that link. It switches to
    the next replica when this one does not reply or finds no leader in time,
    and at once when the link is lost or refused: several replicas may be lost
    within one lease.

    :param client: sends all calls other than renewals
    :param host: this host; control assigns its incarnation
    :param name: the name under which the link identifies itself
    :param secret: the fleet's shared secret
    """

    def __init__(
        self,
        client: clients.ControlClient,
        host: membership_messages.Host,
        name: str,
        secret: bytes,
        clock: clocks.Clock | None = None,
    ):
        self._client = client
        self._host = host
        self._name = name
        self._secret = secret
        self._clock = clock or clocks.MonotonicClock()
        self._state_holder = states.StateHolder()
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._closed = False
        self._lease_end_ms = 0
        self._call_numbers = itertools.count(1)
        self._begun_calls: dict[tuple[str, str], int] = {}
        self._replica = replica_choices.ReplicaChoice(client.addresses)
        self._closed_links_bytes = 0
        self._renewal_log = renewal_logs.RenewalLog()
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
    def host(self) -> membership_messages.Host:
        """This host, as it is listed in a view."""
        return self._host

    @property
    def moved_bytes(self) -> int:
        """The payload bytes sent and received over the session's links."""
        link = self._link
        open_link_bytes = _count_bytes(link) if link is not None else 0
        return self._closed_links_bytes + open_link_bytes

    def state(self) -> protocols.HostState:
        """Returns the state after the last applied update."""
        return self._state_holder.state

    def lease_valid(self) -> bool:
        """Whether this host may serve keyed requests and act as an owner."""
        return self._clock.now_ms() < self._lease_end_ms

    def add_listener(self, listener: protocols.StateListener) -> None:
        """Registers a callback that receives the old and the new state."""
        self._state_holder.add_listener(listener)

    def begin_intent(
        self, intent: intent_messages.BeginIntent, timeout_ms: int
    ) -> intent_messages.IntentState:
        """Records the intent to make a non-idempotent call.

        :returns: the state of the call; only ``begun`` allows sending it
        :raises RefusedError: when control refused the intent
        :raises MembershipError: when it is unknown whether the intent was
            committed; the caller must not send the call
        """
        call_number = next(self._call_numbers)
        numbered = intent_messages.BeginIntent(
            intent.workspace,
            intent.idempotency_key,
            intent.request_digest,
            intent.host,
            intent.incarnation,
            call_number,
        )
        try:
            reply = self._call(numbered, timeout_ms)
        except errors.RefusedError:
            raise
        except errors.MembershipError:
            self._remember_begun_call(intent, call_number)
            raise
        if reply.state == intent_messages.INTENT_BEGUN:
            self._remember_begun_call(intent, call_number)
        return reply

    def _remember_begun_call(
        self, intent: intent_messages.BeginIntent, call_number: int
    ) -> None:
        """Remembers the number of a call whose intent may be committed."""
        with self._lock:
            self._begun_calls[_intent_key(intent)] = call_number

    def finish_intent(
        self, finish: intent_messages.FinishIntent, timeout_ms: int
    ) -> None:
        """Records the outcome of a non-idempotent call.

        :raises RefusedError: when control refused the outcome
        :raises MembershipError: when it is unknown whether the outcome was
            committed
        """
        with self._lock:
            call_number = self._begun_calls.get(_intent_key(finish), 0)
        numbered = intent_messages.FinishIntent(
            finish.workspace,
            finish.idempotency_key,
            finish.host,
            finish.incarnation,
            finish.outcome,
            finish.answer,
            call_number,
        )
        self._call(numbered, timeout_ms)
        with self._lock:
            if self._begun_calls.get(_intent_key(finish)) == call_number:
                del self._begun_calls[_intent_key(finish)]

    def report_usage(
        self, report: usage_messages.ReportUsage, timeout_ms: int
    ) -> None:
        """Reports a batch of usage; a batch sent again is counted once.

        :raises RefusedError: when control refused the batch
        :raises MembershipError: when it is unknown whether the batch was
            committed
        """
        self._call(report, timeout_ms)

    def mark_leaving(self) -> None:
        """Asks control to mark this host as leaving in the next view."""
        with self._lock:
            self._host = _copy_host(
                self._host, self._host.incarnation, leaving=True
            )
        self._wake.set()

    def close(self) -> None:
        """Ends the session and releases the lease at once."""
        with self._lock:
            if self._closed:
                return
            self._closed = True
            self._lease_end_ms = 0
        self._wake.set()
        if self._thread.is_alive():
            self._thread.join(2 * RENEW_TIMEOUT_MS / 1000)
        link = self._detach_link()
        if link is not None:
            link.close()
        if self._host.incarnation:
            self._release_lease()

    def _release_lease(self) -> None:
        message = membership_messages.CloseSession(
            self._host.name, self._host.incarnation
        )
        try:
            self._client.call(message, CLOSE_TIMEOUT_MS)
        except (errors.MembershipError, wire_errors.WireError):
            LOG.warning(
                'could not release the lease; it remains until it expires'
            )

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
                self._open_or_renew()
            except Exception:
                LOG.exception('session renewal raised an exception; retrying')
                self._pause(replica_choices.RETRY_INTERVAL_MS)

    def _open_or_renew(self) -> None:
        if not self._host.incarnation and not self._open_session():
            self._pause(replica_choices.RETRY_INTERVAL_MS)
            return
        start_ms = self._clock.now_ms()
        interval_ms = self._renew()
        elapsed_ms = self._clock.now_ms() - start_ms
        self._pause(max(0, interval_ms - elapsed_ms))

    def _pause(self, duration_ms: int) -> None:
        self._wake.wait(duration_ms / 1000)
        self._wake.clear()

    def _open_session(self) -> bool:
        """Requests an incarnation number; returns whether one was assigned."""
        token = os.urandom(SESSION_TOKEN_BYTES)
        message = membership_messages.OpenSession(self._host.name, token)
        try:
            reply = self._client.call(message, OPEN_TIMEOUT_MS)
        except (errors.MembershipError, wire_errors.WireError):
            return False
        with self._lock:
            self._host = _copy_host(
                self._host, reply.incarnation, self._host.leaving
            )
            self.opened_count += 1
        LOG.info('session opened', extra={'incarnation': reply.incarnation})
        return True

    def _renew(self) -> int:
        """Renews the lease once; returns the delay in ms until the next."""
        state = self._state_holder.state
        message = membership_messages.RenewSession(
            self._host, state.view.number, state.applied_index
        )
        sent_ms = self._clock.now_ms()
        try:
            reply = self._get_link().call(message, RENEW_TIMEOUT_MS)
        except wire_errors.RemoteError as cause:
            self._log_failure(cause.code, sent_ms)
            return self._handle_refusal(cause)
        except wire_errors.WireError as cause:
            self._log_failure(type(cause).__name__, sent_ms)
            self._switch_replica()
            return self._replica.record_silence()
        self._replica.record_answer(leader_known=True)
        self._state_holder.set_adopted_view_number(reply.adopted_view_number)
        if not reply.ttl_ms:
            return replica_choices.RETRY_INTERVAL_MS
        self._renewal_log.record_grant(
            str(self._replica.address),
            self._clock.now_ms() - sent_ms,
            self._lease_left_ms(),
        )
        with self._lock:
            if not self._closed:
                self._lease_end_ms = sent_ms + reply.ttl_ms
        self.renewed_count += 1
        if reply.adopted_view_number < self._state_holder.state.view.number:
            return ADOPTION_INTERVAL_MS
        return RENEW_INTERVAL_MS

    def _log_failure(self, cause: str, sent_ms: int) -> None:
        self._renewal_log.record_failure(
            str(self._replica.address),
            cause,
            self._host,
            self._state_holder.state,
            self._clock.now_ms() - sent_ms,
            self._lease_left_ms(),
        )

    def _lease_left_ms(self) -> int:
        if not self._lease_end_ms:
            return 0
        return self._lease_end_ms - self._clock.now_ms()

    def _handle_refusal(self, cause: wire_errors.RemoteError) -> int:
        """Handles a refusal; returns the delay in ms to the next renewal."""
        self.failed_renewal_count += 1
        leaderless = cause.code == membership_messages.CODE_NO_LEADER
        leave = self._replica.record_answer(leader_known=not leaderless)
        if cause.code == membership_messages.CODE_EVICTED:
            LOG.warning(
                'control ended the session; opening a new one',
                extra={'incarnation': self._host.incarnation},
            )
            with self._lock:
                self._lease_end_ms = 0
                self._host = _copy_host(self._host, 0, self._host.leaving)
        elif cause.code == membership_messages.CODE_ADOPT_VIEW:
            self._subscribe()
        elif leaderless:
            if leave:
                self._switch_replica()
            return replica_choices.LEADERLESS_INTERVAL_MS
        else:
            self._switch_replica()
        return replica_choices.RETRY_INTERVAL_MS

    def _get_link(self) -> dialers.WebsocketPeer:
        with self._lock:
            if self._link is not None:
                return self._link
            link = dialers.WebsocketPeer(
                self._replica.address,
                self._name,
                self._secret,
                on_notice=self._handle_notice,
                on_connect=self._subscribe,
                keep_open=True,
                resend=False,
            )
            self._link = link
        if link.connected:
            # It may have connected before self._link was set, in which case
            # the on_connect callback had no link to send on.
            self._subscribe()
        return link

    def _switch_replica(self) -> None:
        """Switches renewals to the next replica, over a new link."""
        self.failed_renewal_count += 1
        self._replica.advance()
        if self._replica.has_others:
            link = self._detach_link()
            if link is not None:
                # Closing may block on a connection attempt for longer than the
                # lease lasts.
                threading.Thread(target=link.close, daemon=True).start()

    def _detach_link(self) -> dialers.WebsocketPeer | None:
        with self._lock:
            link, self._link = self._link, None
            if link is not None:
                self._closed_links_bytes += _count_bytes(link)
        return link

    def _subscribe(self) -> None:
        self._send_notice(
            membership_messages.Subscribe(
                self._state_holder.state.applied_index
            )
        )

    def _handle_notice(self, notice: messages.Message) -> None:
        if isinstance(notice, membership_messages.PackedUpdate):
            notice = messages.unpack(notice.body)
        if not isinstance(notice, membership_messages.StateUpdate):
            return
        view_number = self._state_holder.state.view.number
        start_ms = self._clock.now_ms()
        if not self._state_holder.apply(notice):
            if notice.from_index > self._state_holder.state.applied_index:
                self._subscribe()
            return
        state = self._state_holder.state
        LOG.info(
            'update applied',
            extra={
                'applied_index': state.applied_index,
                'bundle_index': state.bundle_index,
                'view_number': state.view.number,
                'elapsed_ms': self._clock.now_ms() - start_ms,
            },
        )
        self._send_notice(
            membership_messages.ChangesApplied(
                self._host.name,
                self._host.incarnation,
                state.applied_index,
                state.view.number,
            )
        )
        if state.view.number > view_number:
            self._wake.set()

    def _send_notice(self, message: messages.Message) -> None:
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


def _intent_key(
    message: intent_messages.BeginIntent | intent_messages.FinishIntent,
) -> tuple[str, str]:
    return (message.workspace, message.idempotency_key)


def _copy_host(
    host: membership_messages.Host, incarnation: int, leaving: bool
) -> membership_messages.Host:
    return membership_messages.Host(
        host.name,
        incarnation,
        host.place,
        host.caller_address,
        host.peer_address,
        leaving,
    )
