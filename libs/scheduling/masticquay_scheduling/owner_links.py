"""Calls to the owners of pools, on this host or another."""

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


class OwnerLinks:
    """Finds the owner of each pool in the newest view, and calls it."""

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
        self.map = plans.PoolMap(None, settings)
        self.view = membership.state().view
        self._owners: dict[str, membership_messages.Host | None] = {}
        self._lock = threading.Lock()

    def follow(
        self,
        old: membership_protocols.HostState,
        new: membership_protocols.HostState,
    ) -> None:
        """Takes a newer bundle or view."""
        with self._lock:
            if new.bundle is not None and new.bundle is not self._bundle:
                self._bundle = new.bundle
                self.map = plans.PoolMap(new.bundle, self._settings)
            self.view = new.view
            # Replaced, not cleared: a concurrent lookup keeps the old one.
            self._owners = {}

    def owner(self, pool: str) -> membership_messages.Host | None:
        """Returns the owner of a pool in the newest view."""
        owners = self._owners
        if pool not in owners:
            plan = self.map.plans.get(pool)
            place = plan.place if plan else ''
            owners[pool] = ownership.find_owner(
                self.view, ownership.KIND_POOL, pool, place
            )
        return owners[pool]

    def owner_key(self, pool: str) -> tuple[str, int] | None:
        """Returns the name and incarnation of a pool's owner."""
        owner = self.owner(pool)
        return (owner.name, owner.incarnation) if owner else None

    def local(self, pool: str) -> schedulers.PoolScheduler | None:
        """Returns the scheduler when this host is the owner, else None.

        :raises NotOwnerError: when it should be here but is not ready
        """
        owner = self.owner(pool)
        if owner is None or owner.name != self._membership.host.name:
            return None
        return self._service.find_pool(pool)

    def reachable(self, pool: str) -> bool:
        """Whether a pool's owner is this host, or has a link to it."""
        owner = self.owner(pool)
        if owner is None:
            return False
        if owner.name == self._membership.host.name:
            return True
        return self._directory.find(owner.peer_address).connected

    def ask(
        self,
        pool: str,
        message: wire_messages.Message,
        timeout_ms: int,
        settle: typing.Callable[['outstanding.Outcome | None'], None],
        run_local: typing.Callable,
    ) -> None:
        """Sends a call to the owner; ``settle`` gets None for no answer."""
        try:
            scheduler = self.local(pool)
        except errors.NotOwnerError:
            settle(None)
            return
        if scheduler is not None:
            run_local(scheduler, settle)
            return
        owner = self.owner(pool)
        if owner is None:
            settle(None)
            return
        peer = self._directory.find(owner.peer_address)
        future = peer.submit(message, timeout_ms)
        future.add_done_callback(
            lambda done: settle(None if done.exception() else done.result())
        )

    def tell(
        self,
        pool: str,
        message: wire_messages.Message,
        run_local: typing.Callable,
    ) -> None:
        """Sends a message whose loss does no harm."""
        try:
            scheduler = self.local(pool)
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
