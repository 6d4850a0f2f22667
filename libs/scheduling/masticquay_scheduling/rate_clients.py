"""Client through which an entry host calls the owners of rate limiters."""

from concurrent import futures
import contextlib
import logging
import random as random_module
import threading

from masticquay_membership import messages as membership_messages
from masticquay_membership import ownership
from masticquay_membership import protocols as membership_protocols
from masticquay_scheduling import charges
from masticquay_scheduling import directories
from masticquay_scheduling import errors
from masticquay_scheduling import grants
from masticquay_scheduling import messages
from masticquay_scheduling import protocols
from masticquay_scheduling import rate_messages
from masticquay_scheduling import services
from masticquay_scheduling import settings as scheduling_settings
from masticquay_wire import clocks
from masticquay_wire import duties

LOG = logging.getLogger(__name__)

# Pauses of the report thread with and without waiting charges.
WAITING_INTERVAL_MS = 10
IDLE_INTERVAL_MS = 50


class WorkspaceRate:
    """A workspace's charges on this host, and its rate limiter's owner."""

    __slots__ = ('queue', 'owner', 'lock')

    def __init__(self, queue: charges.ChargeQueue):
        self.queue = queue
        self.owner: membership_messages.Host | None = None
        self.lock = threading.RLock()


class RateClient:
    """Pays charges of this host from grants of the rate limiters' owners."""

    def __init__(
        self,
        membership: membership_protocols.Membership,
        service: services.SchedulingService,
        directory: directories.Directory,
        clock: clocks.Clock,
        random: random_module.Random,
        settings: scheduling_settings.SchedulingSettings,
    ):
        self._membership = membership
        self._service = service
        self._directory = directory
        self._clock = clock
        self._settings = settings
        self._rates: dict[str, WorkspaceRate] = {}
        self._view = membership.state().view
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._stack = contextlib.ExitStack()

    def start(self) -> None:
        """Subscribes to membership changes and starts the report thread."""
        self._membership.add_listener(self._on_membership_change)
        state = self._membership.state()
        self._on_membership_change(state, state)
        thread = threading.Thread(
            target=self._run, name='rate-client', daemon=True
        )
        thread.start()
        self._stack.callback(thread.join, 2)
        self._stack.callback(self._stopping.set)

    def close(self) -> None:
        """Stops the thread and refuses all waiting charges."""
        self._stack.close()
        for rate in list(self._rates.values()):
            with rate.lock:
                waiting = rate.queue.drain()
            for charge in waiting:
                charge.refuse()

    def charge(
        self, workspace: str, tokens: int, max_wait_ms: int
    ) -> futures.Future:
        """Charges tokens before dispatch; see ``protocols.Rates``."""
        now_ms = self._clock.now_ms()
        charge = charges.Charge(tokens, now_ms + max_wait_ms)
        rate = self._rate(workspace)
        with rate.lock:
            paid = rate.queue.add(charge, now_ms)
        if paid:
            charge.accept()
        else:
            self._report(rate)
        return charge.future

    def refund(self, workspace: str, tokens: int) -> None:
        """Gives back tokens that a finished request did not use."""
        if tokens <= 0:
            return
        rate = self._rate(workspace)
        with rate.lock:
            rate.queue.holder.refund(tokens, self._clock.now_ms())

    def unspent_tokens(self) -> dict[str, int]:
        """Returns the granted, unspent tokens of each workspace."""
        now_ms = self._clock.now_ms()
        return {
            workspace: rate.queue.holder.held_tokens(now_ms)
            for workspace, rate in list(self._rates.items())
        }

    def _rate(self, workspace: str) -> WorkspaceRate:
        with self._lock:
            rate = self._rates.get(workspace)
            if rate is None:
                host = self._membership.host
                holder = grants.GrantHolder(
                    workspace, host.name, host.incarnation, self._settings
                )
                rate = WorkspaceRate(charges.ChargeQueue(holder))
                self._rates[workspace] = rate
                self._set_owner(workspace, rate)
            return rate

    def _on_membership_change(
        self,
        old: membership_protocols.HostState,
        new: membership_protocols.HostState,
    ) -> None:
        with self._lock:
            self._view = new.view
            for workspace, rate in self._rates.items():
                with rate.lock:
                    self._set_owner(workspace, rate)

    def _set_owner(self, workspace: str, rate: WorkspaceRate) -> None:
        owner = rate.owner = ownership.find_owner(
            self._view, ownership.KIND_WORKSPACE, workspace
        )
        owner_key = (owner.name, owner.incarnation) if owner else None
        rate.queue.switch_owner(owner_key, services.host_keys(self._view))

    def _run(self) -> None:
        duty = duties.Duty('rate reports', self._serve_all)
        while not self._stopping.wait(self._pause_ms() / 1000):
            duty.run_once()

    def _pause_ms(self) -> int:
        rates = list(self._rates.values())
        waiting = any(rate.queue for rate in rates)
        return WAITING_INTERVAL_MS if waiting else IDLE_INTERVAL_MS

    def _serve_all(self) -> None:
        for rate in list(self._rates.values()):
            self._serve(rate)
            self._report(rate)

    def _report(self, rate: WorkspaceRate) -> None:
        """Sends a grant request to the owner if one is due."""
        now_ms = self._clock.now_ms()
        with rate.lock:
            owner = rate.owner
            owner_key = rate.queue.holder.owner
            request = rate.queue.next_request(self._view.number, now_ms)
        if request is None:
            return
        future = self._send(owner, request)
        future.add_done_callback(
            lambda done: self._handle_answer(
                rate, request.sequence, owner_key, done
            )
        )

    def _send(
        self,
        owner: membership_messages.Host | None,
        request: rate_messages.RequestGrant,
    ) -> futures.Future:
        if owner is not None and owner.name != self._membership.host.name:
            peer = self._directory.find(owner.peer_address)
            return peer.submit(request, self._settings.grant_timeout_ms)
        future: futures.Future = futures.Future()
        try:
            future.set_result(self._service.request_grant(request))
        except errors.NotOwnerError as cause:
            future.set_exception(cause)
        return future

    def _handle_answer(
        self,
        rate: WorkspaceRate,
        sequence: int,
        owner_key: grants.HostKey | None,
        done: futures.Future,
    ) -> None:
        grant = None if done.exception() else done.result()
        now_ms = self._clock.now_ms()
        with rate.lock:
            rate.queue.handle_answer(sequence, grant, owner_key, now_ms)
        self._serve(rate)

    def _serve(self, rate: WorkspaceRate) -> None:
        with rate.lock:
            paid, late = rate.queue.serve(self._clock.now_ms())
        for charge in paid:
            charge.accept()
        for charge in late:
            charge.refuse()
        silent = [c for c in late if c.reason == messages.REASON_NO_LIMITER]
        if silent:
            self._log_silence(rate, silent)

    def _log_silence(
        self, rate: WorkspaceRate, silent: list[charges.Charge]
    ) -> None:
        """Logs charges refused together, one line for all of them."""
        now_ms = self._clock.now_ms()
        LOG.warning(
            'rate limiter did not answer',
            extra={
                'workspace': rate.queue.holder.workspace,
                'owner': rate.owner.name if rate.owner else '',
                'view_number': self._view.number,
                'refused_count': len(silent),
                'longest_wait_ms': max(now_ms - c.queued_ms for c in silent),
            },
        )


def implements(client: RateClient) -> protocols.Rates:
    """Makes the type checker verify that the client fits its protocol."""
    return client
