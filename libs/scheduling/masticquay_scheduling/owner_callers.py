"""Calls to the owners of pools, on this or other hosts."""

import contextlib
import threading
import typing

from masticquay_membership import messages as membership_messages
from masticquay_membership import ownership
from masticquay_membership import protocols as membership_protocols
from masticquay_scheduling import directories
from masticquay_scheduling import errors
from masticquay_scheduling import outstanding
from masticquay_scheduling import plans
from masticquay_scheduling import schedulers
from masticquay_scheduling import services
from masticquay_scheduling import settings as scheduling_settings
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages as wire_messages


class OwnerCaller:
    """Finds the owner of each pool in the latest view, and calls it."""

    def __init__(
        self,
        membership: membership_protocols.Membership,
        service: services.SchedulingService,
        directory: directories.Directory,
        settings: scheduling_settings.SchedulingSettings,
    ):
        self._membership = membership
        self._service = service
        self._directory = directory
        self._settings = settings
        self._bundle = None
        self.pool_map = plans.PoolMap(None, settings)
        self.view = membership.state().view
        self._owners: dict[str, membership_messages.Host | None] = {}
        self._lock = threading.Lock()

    def on_membership_change(
        self,
        old: membership_protocols.HostState,
        new: membership_protocols.HostState,
    ) -> None:
        """Applies a newer bundle or view."""
        with self._lock:
            if new.bundle is not None and new.bundle is not self._bundle:
                self._bundle = new.bundle
                self.pool_map = plans.PoolMap(new.bundle, self._settings)
            self.view = new.view
            # Replaced, not cleared: a concurrent lookup keeps using the old
            # dictionary.
            self._owners = {}

    def owner(self, pool: str) -> membership_messages.Host | None:
        """Returns the owner of a pool in the latest view, None without one."""
        owners = self._owners
        if pool not in owners:
            plan = self.pool_map.plans.get(pool)
            place = plan.place if plan else ''
            owners[pool] = ownership.find_owner(
                self.view, ownership.KIND_POOL, pool, place
            )
        return owners[pool]

    def owner_key(self, pool: str) -> tuple[str, int] | None:
        """Returns the name and incarnation of a pool's owner, or None."""
        owner = self.owner(pool)
        return (owner.name, owner.incarnation) if owner else None

    def local_scheduler(self, pool: str) -> schedulers.PoolScheduler | None:
        """Returns the scheduler if this host is the owner, else None.

        :raises NotOwnerError: when the scheduler is not running here yet
        """
        owner = self.owner(pool)
        if owner is None or owner.name != self._membership.host.name:
            return None
        return self._service.find_pool(pool)

    def is_reachable(self, pool: str) -> bool:
        """Returns whether the owner is this host or connected to it."""
        owner = self.owner(pool)
        if owner is None:
            return False
        if owner.name == self._membership.host.name:
            return True
        return self._directory.find(owner.peer_address).connected

    def call(
        self,
        pool: str,
        message: wire_messages.Message,
        timeout_ms: int,
        on_answer: typing.Callable[['outstanding.Outcome | None'], None],
        run_local: typing.Callable,
    ) -> None:
        """Calls the owner of a pool.

        :param on_answer: called with the answer, or with None when the call
            failed
        :param run_local: called with the scheduler and ``on_answer`` instead
            of sending the message when this host is the owner
        """
        try:
            scheduler = self.local_scheduler(pool)
        except errors.NotOwnerError:
            on_answer(None)
            return
        if scheduler is not None:
            run_local(scheduler, on_answer)
            return
        owner = self.owner(pool)
        if owner is None:
            on_answer(None)
            return
        peer = self._directory.find(owner.peer_address)
        future = peer.submit(message, timeout_ms)
        future.add_done_callback(
            lambda done: on_answer(None if done.exception() else done.result())
        )

    def notify(
        self,
        pool: str,
        message: wire_messages.Message,
        run_local: typing.Callable,
    ) -> None:
        """Sends a message to the owner, which may be lost.

        :param run_local: called with the scheduler instead when this host is
            the owner
        """
        try:
            scheduler = self.local_scheduler(pool)
        except errors.NotOwnerError:
            return
        if scheduler is not None:
            run_local(scheduler)
            return
        owner = self.owner(pool)
        if owner is not None:
            peer = self._directory.find(owner.peer_address)
            with contextlib.suppress(wire_errors.WireError):
                peer.notify(message)
