"""How an entry host charges workspaces."""

import collections
from concurrent import futures
import contextlib
import random as random_module
import threading

from returns import result

from masticquay_membership import messages as membership_messages
from masticquay_membership import ownership
from masticquay_membership import protocols as membership_protocols
from masticquay_scheduling import directories
from masticquay_scheduling import errors
from masticquay_scheduling import grants
from masticquay_scheduling import messages
from masticquay_scheduling import protocols
from masticquay_scheduling import services
from masticquay_scheduling import settings as scheduling_settings
from masticquay_wire import clocks

ROUND_MS = 10
RETRY_MS = 25
UNKNOWN_RETRY_MS = 1_000


class PendingCharge:
    """A charge that waits for tokens."""

    __slots__ = ('tokens', 'deadline_ms', 'future', 'retry_after_ms')

    def __init__(self, tokens: int, deadline_ms: int):
        self.tokens = tokens
        self.deadline_ms = deadline_ms
        self.future: futures.Future = futures.Future()
        self.retry_after_ms = UNKNOWN_RETRY_MS


class WorkspaceRate:
    """One workspace's grant on this host, and the charges that wait."""

    __slots__ = ('holder', 'owner', 'waiting', 'lock', 'next_ms')

    def __init__(self, holder: grants.GrantHolder):
        self.holder = holder
        self.owner: membership_messages.Host | None = None
        self.waiting: collections.deque[PendingCharge] = collections.deque()
        self.lock = threading.RLock()
        self.next_ms = 0


class RateClient:
    """Charges tokens from grants of the workspaces' owners."""

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
        """Follows membership, and starts the thread for reports."""
        self._membership.add_listener(self._follow)
        state = self._membership.state()
        self._follow(state, state)
        thread = threading.Thread(
            target=self._run, name='rate-client', daemon=True
        )
        thread.start()
        self._stack.callback(thread.join, 2)
        self._stack.callback(self._stopping.set)

    def close(self) -> None:
        """Stops; what waits is refused."""
        self._stack.close()
        for rate in list(self._rates.values()):
            with rate.lock:
                waiting = list(rate.waiting)
                rate.waiting.clear()
            for charge in waiting:
                self._refuse(charge)

    def charge(
        self, workspace: str, tokens: int, max_wait_ms: int
    ) -> futures.Future:
        """Charges tokens before dispatch; see ``protocols.Rates``."""
        now_ms = self._clock.now_ms()
        charge = PendingCharge(tokens, now_ms + max_wait_ms)
        rate = self._rate(workspace)
        with rate.lock:
            if not rate.waiting and rate.holder.spend(tokens, now_ms):
                charge.future.set_result(result.Success(tokens))
                return charge.future
            rate.waiting.append(charge)
        self._report(workspace, rate)
        return charge.future

    def refund(self, workspace: str, tokens: int) -> None:
        """Gives back what a finished request did not use."""
        if tokens <= 0:
            return
        rate = self._rate(workspace)
        with rate.lock:
            rate.holder.refund(tokens, self._clock.now_ms())

    def unspent_tokens(self) -> dict[str, int]:
        """Returns what this host holds for each workspace."""
        now_ms = self._clock.now_ms()
        return {
            workspace: rate.holder.held_tokens(now_ms)
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
                rate = WorkspaceRate(holder)
                self._rates[workspace] = rate
                self._turn(workspace, rate)
            return rate

    def _follow(
        self,
        old: membership_protocols.HostState,
        new: membership_protocols.HostState,
    ) -> None:
        with self._lock:
            self._view = new.view
            for workspace, rate in self._rates.items():
                with rate.lock:
                    self._turn(workspace, rate)

    def _turn(self, workspace: str, rate: WorkspaceRate) -> None:
        owner = rate.owner = ownership.find_owner(
            self._view, ownership.KIND_WORKSPACE, workspace
        )
        key = (owner.name, owner.incarnation) if owner else None
        rate.holder.turn_to(key, services.host_keys(self._view))
        rate.next_ms = 0

    def _run(self) -> None:
        while not self._stopping.wait(ROUND_MS / 1000):
            for workspace, rate in list(self._rates.items()):
                self._serve(rate)
                self._report(workspace, rate)

    def _report(self, workspace: str, rate: WorkspaceRate) -> None:
        """Sends the next request to the owner when one is due."""
        now_ms = self._clock.now_ms()
        with rate.lock:
            needed = rate.waiting[0].tokens if rate.waiting else 0
            if now_ms < rate.next_ms or not rate.holder.due(needed, now_ms):
                return
            key = rate.holder.owner
            wanted = sum(charge.tokens for charge in rate.waiting)
            request = rate.holder.compose(
                needed, wanted, self._view.number, now_ms
            )
        future = self._send(rate.owner, request)
        future.add_done_callback(
            lambda done: self._take(workspace, rate, request, key, done)
        )

    def _send(
        self,
        owner: membership_messages.Host | None,
        request: messages.RequestGrant,
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

    def _take(
        self,
        workspace: str,
        rate: WorkspaceRate,
        request: messages.RequestGrant,
        key: grants.OwnerKey,
        done: futures.Future,
    ) -> None:
        now_ms = self._clock.now_ms()
        with rate.lock:
            if done.exception() is not None:
                rate.holder.give_up(request.sequence)
                rate.next_ms = now_ms + RETRY_MS
            else:
                grant = done.result()
                rate.holder.apply(grant, key, now_ms)
                self._plan_next(rate, grant, now_ms)
        self._serve(rate)

    def _plan_next(
        self, rate: WorkspaceRate, grant: messages.Grant, now_ms: int
    ) -> None:
        if not rate.waiting or grant.granted_tokens:
            rate.next_ms = now_ms
            return
        first = rate.waiting[0]
        first.retry_after_ms = grant.retry_after_ms
        wait_ms = max(RETRY_MS, grant.retry_after_ms)
        rate.next_ms = now_ms + wait_ms
        # Tokens that come only after the longest wait help nobody waiting;
        # the next charge may be small enough for what is there.
        if first.deadline_ms < rate.next_ms or not grant.retry_after_ms:
            first.deadline_ms = now_ms
            rate.next_ms = now_ms

    def _serve(self, rate: WorkspaceRate) -> None:
        """Spends for waiting charges in order, and refuses late ones."""
        now_ms = self._clock.now_ms()
        paid = []
        late = []
        with rate.lock:
            while rate.waiting:
                first = rate.waiting[0]
                if rate.holder.spend(first.tokens, now_ms):
                    paid.append(rate.waiting.popleft())
                elif first.deadline_ms <= now_ms:
                    late.append(rate.waiting.popleft())
                else:
                    break
            expired = [c for c in rate.waiting if c.deadline_ms <= now_ms]
            for charge in expired:
                rate.waiting.remove(charge)
            if late or expired:
                rate.next_ms = min(rate.next_ms, now_ms)
        for charge in paid:
            charge.future.set_result(result.Success(charge.tokens))
        for charge in late + expired:
            self._refuse(charge)

    def _refuse(self, charge: PendingCharge) -> None:
        refused = messages.Refused(
            messages.REASON_OVER_RATE, charge.retry_after_ms
        )
        charge.future.set_result(result.Failure(refused))


def implements(client: RateClient) -> protocols.Rates:
    """Lets a type checker see that the client fits its Protocol."""
    return client
