"""The part of an entry host that runs the pools and limiters it owns."""

from concurrent import futures
import contextlib
import logging
import random as random_module
import threading

from masticquay_bundles import models
from masticquay_membership import messages as membership_messages
from masticquay_membership import ownership
from masticquay_membership import protocols as membership_protocols
from masticquay_scheduling import directories
from masticquay_scheduling import errors
from masticquay_scheduling import limiters
from masticquay_scheduling import messages
from masticquay_scheduling import plans
from masticquay_scheduling import protocols
from masticquay_scheduling import rate_messages
from masticquay_scheduling import rate_owners
from masticquay_scheduling import schedulers
from masticquay_scheduling import settings as scheduling_settings
from masticquay_scheduling import watchers
from masticquay_wire import clocks
from masticquay_wire import duties
from masticquay_wire import errors as wire_errors
from masticquay_wire import listeners
from masticquay_wire import peers

LOG = logging.getLogger(__name__)

# Bounds of the pause between two ticks.
TICK_MIN_MS = 5
TICK_MAX_MS = 50
MAINTENANCE_INTERVAL_MS = 100


def host_keys(
    view: membership_messages.View,
) -> set[tuple[str, int]]:
    """Returns the names and incarnations of the hosts of a view."""
    return {(host.name, host.incarnation) for host in view.hosts}


class SchedulingService:
    """Runs the pool schedulers and rate limiters that this host owns.

    A pool's scheduler starts once all live hosts have adopted the view that
    made this host the owner: by then the old owner has stopped its own.
    """

    def __init__(
        self,
        membership: membership_protocols.Membership,
        listener: listeners.Listener,
        watcher: protocols.EndpointWatcher,
        clock: clocks.Clock,
        random: random_module.Random,
        settings: scheduling_settings.SchedulingSettings,
        directory: directories.Directory,
    ):
        self._membership = membership
        self._clock = clock
        self._settings = settings
        self._lock = threading.RLock()
        self._pools: dict[str, schedulers.PoolScheduler] = {}
        self._stopping = threading.Event()
        self._tick_pause_ms: float = TICK_MAX_MS
        self._stack = contextlib.ExitStack()
        self._endpoint_poller = watchers.EndpointPoller(
            watcher, clock, settings
        )
        self._rates = rate_owners.RateOwners(
            membership, directory, clock, settings
        )
        self._plans = plans.PoolMap(None, settings)
        self._bundle: models.Bundle | None = None
        for message_type, handler in (
            (messages.Admit, self._handle_admit),
            (messages.AwaitDecode, self._handle_await_decode),
            (messages.PrefillDone, self._handle_prefill_done),
            (messages.ReportFinished, self._handle_finished),
            (messages.WithdrawRequest, self._handle_withdraw),
            (messages.AnnouncePlacements, self._handle_announce),
            (rate_messages.RequestGrant, self._handle_grant),
            (rate_messages.HandOverRate, self._handle_hand_over),
        ):
            listener.handle(message_type, handler)

    def start(self) -> None:
        """Subscribes to membership changes and starts the threads."""
        self._stack.callback(self._stopping.set)
        self._membership.add_listener(self._on_membership_change)
        state = self._membership.state()
        self._on_membership_change(state, state)
        for target in (self._run_ticks, self._run_maintenance):
            thread = threading.Thread(
                target=target, name='scheduling', daemon=True
            )
            thread.start()
            self._stack.callback(thread.join, 2)
        self._endpoint_poller.start(self._owned_pools)
        self._stack.callback(self._endpoint_poller.close)

    def close(self) -> None:
        """Stops all threads; refuses queued requests with ``not-owner``."""
        self._stopping.set()
        with self._lock:
            pools = list(self._pools.values())
            self._pools.clear()
        for pool in pools:
            pool.retire()
        self._stack.close()

    def find_pool(self, name: str) -> schedulers.PoolScheduler:
        """Returns the scheduler of a pool.

        :raises NotOwnerError: when this host does not own the pool now
        """
        pool = self._pools.get(name)
        if pool is None or not self._membership.lease_valid():
            raise errors.NotOwnerError(name)
        return pool

    def request_grant(
        self, request: rate_messages.RequestGrant
    ) -> rate_messages.Grant:
        """Answers a grant request from this or another host.

        :raises NotOwnerError: when this host does not own the limiter now
        """
        if not self._membership.lease_valid():
            raise errors.NotOwnerError(request.workspace)
        return self._rates.request(request)

    def pools(self) -> dict[str, schedulers.PoolScheduler]:
        """Returns the schedulers of the pools owned now."""
        return dict(self._pools)

    def limiters(self) -> dict[str, limiters.RateLimiter]:
        """Returns the rate limiters owned now."""
        return self._rates.active()

    # Ownership changes.

    def _on_membership_change(
        self,
        old: membership_protocols.HostState,
        new: membership_protocols.HostState,
    ) -> None:
        with self._lock:
            if new.bundle is not None and new.bundle is not self._bundle:
                self._bundle = new.bundle
                self._plans = plans.PoolMap(new.bundle, self._settings)
                self._update_pools()
            self._change_pools(new)
            self._rates.on_membership_change(old, new)

    def _update_pools(self) -> None:
        for name, pool in self._pools.items():
            plan = self._plans.plans.get(name)
            if plan is not None:
                pool.update(plan, self._bundle)

    def _change_pools(self, state: membership_protocols.HostState) -> None:
        owned = self._owned_plans(state.view)
        for name in [n for n in self._pools if n not in owned]:
            pool = self._pools.pop(name)
            pool.retire()
            LOG.info('no longer the owner of the pool', extra={'pool': name})
        live_hosts = host_keys(state.view)
        for pool in self._pools.values():
            pool.remove_absent_hosts(live_hosts)
        if state.adopted_view_number < state.view.number:
            return
        for name, plan in owned.items():
            if name in self._pools:
                continue
            self._pools[name] = schedulers.PoolScheduler(
                plan,
                self._bundle,
                self._clock,
                self._settings,
                unannounced_hosts=live_hosts,
            )
            LOG.info('became the owner of the pool', extra={'pool': name})

    def _owned_plans(
        self, view: membership_messages.View
    ) -> dict[str, plans.PoolPlan]:
        own_name = self._membership.host.name
        owned = {}
        for name, plan in self._plans.plans.items():
            owner = ownership.find_owner(
                view, ownership.KIND_POOL, name, plan.place
            )
            if owner is not None and owner.name == own_name:
                owned[name] = plan
        return owned

    def _owned_pools(self) -> list[schedulers.PoolScheduler]:
        return list(self._pools.values())

    # Threads.

    def _run_ticks(self) -> None:
        duty = duties.Duty('pool ticks', self._tick_pools)
        while not self._stopping.wait(self._tick_pause_ms / 1000):
            if not duty.run_once():
                self._tick_pause_ms = TICK_MAX_MS

    def _tick_pools(self) -> None:
        now_ms = self._clock.now_ms()
        for pool in self._owned_pools():
            if pool.needs_tick(now_ms):
                pool.tick()
        self._tick_pause_ms = self._time_to_next_tick_ms()

    def _time_to_next_tick_ms(self) -> float:
        """Returns how long to pause before the next tick."""
        times = [pool.next_tick_ms() for pool in self._owned_pools()]
        due = [time_ms for time_ms in times if time_ms is not None]
        if not due:
            return TICK_MAX_MS
        left_ms = min(due) - self._clock.now_ms()
        return min(TICK_MAX_MS, max(TICK_MIN_MS, left_ms))

    def _run_maintenance(self) -> None:
        duty = duties.Duty('pool maintenance', self._maintain)
        duty.run(self._stopping, MAINTENANCE_INTERVAL_MS / 1000)

    def _maintain(self) -> None:
        # Membership listeners are not called when the last host adopts a view.
        with self._lock:
            self._change_pools(self._membership.state())
        self._rates.run_maintenance()
        for pool in self._owned_pools():
            pool.orphan_expired()

    # Message handlers.

    def _handle_admit(
        self, admit: messages.Admit, connection: peers.Connection
    ) -> futures.Future:
        return self._call_with_reply(
            lambda reply: self.find_pool(admit.pool).admit(admit, reply)
        )

    def _handle_await_decode(
        self, message: messages.AwaitDecode, connection: peers.Connection
    ) -> futures.Future:
        return self._call_with_reply(
            lambda reply: self.find_pool(message.pool).await_decode(
                message.request, message.attempt, message.expires_ms, reply
            )
        )

    def _handle_prefill_done(
        self, message: messages.PrefillDone, connection: peers.Connection
    ) -> None:
        with contextlib.suppress(errors.NotOwnerError):
            pool = self.find_pool(message.pool)
            pool.prefill_done(message.request, message.attempt)

    def _handle_finished(
        self, message: messages.ReportFinished, connection: peers.Connection
    ) -> None:
        pool = self._find_pool_for_peer(message.pool)
        for finished in message.finished:
            pool.finish(finished)

    def _handle_withdraw(
        self, message: messages.WithdrawRequest, connection: peers.Connection
    ) -> None:
        self._find_pool_for_peer(message.pool).withdraw(message.request)

    def _handle_announce(
        self,
        message: messages.AnnouncePlacements,
        connection: peers.Connection,
    ) -> None:
        self._find_pool_for_peer(message.pool).announce(message)

    def _handle_grant(
        self, message: rate_messages.RequestGrant, connection: peers.Connection
    ) -> rate_messages.Grant:
        try:
            return self.request_grant(message)
        except errors.NotOwnerError as cause:
            raise _not_owner_error(message.workspace) from cause

    def _handle_hand_over(
        self, message: rate_messages.HandOverRate, connection: peers.Connection
    ) -> None:
        try:
            self._rates.accept_handover(message)
        except errors.NotOwnerError as cause:
            raise _not_owner_error(message.workspace) from cause

    def _find_pool_for_peer(self, name: str) -> schedulers.PoolScheduler:
        """Returns the scheduler of a pool for another host's message.

        :raises RemoteError: with ``CODE_NOT_OWNER``, sent to that host
        """
        try:
            return self.find_pool(name)
        except errors.NotOwnerError as cause:
            raise _not_owner_error(name) from cause

    def _call_with_reply(self, ask) -> futures.Future:
        """Returns a future of the outcome that ``ask`` replies with.

        :param ask: called with the callback for the reply
        """
        future: futures.Future = futures.Future()
        try:
            ask(future.set_result)
        except errors.NotOwnerError:
            future.set_result(messages.Refused(messages.REASON_NOT_OWNER))
        return future


def _not_owner_error(name: str) -> wire_errors.RemoteError:
    return wire_errors.RemoteError(
        messages.CODE_NOT_OWNER, f'{name} has another owner'
    )
