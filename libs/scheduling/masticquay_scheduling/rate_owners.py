"""The rate limiters that a host owns, and their handover."""

import logging
import threading

from masticquay_bundles import models
from masticquay_membership import messages as membership_messages
from masticquay_membership import ownership
from masticquay_membership import protocols as membership_protocols
from masticquay_scheduling import directories
from masticquay_scheduling import errors
from masticquay_scheduling import limiters
from masticquay_scheduling import rate_messages
from masticquay_scheduling import settings as scheduling_settings
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors

LOG = logging.getLogger(__name__)

HAND_OVER_TIMEOUT_MS = 1_000
# No workspace had a bucket before this version.
FIRST_BUNDLE_VERSION = 1


class PendingOwnership:
    """A workspace that this host owns but may not grant tokens for yet.

    :param view_number: the view that made this host the owner
    :param previous: the previous owner, None when unknown
    :param is_new: whether the workspace is new, so its bucket starts full
    :ivar adopted_ms: when all hosts were first seen to have adopted that view
    """

    __slots__ = ('view_number', 'previous', 'is_new', 'adopted_ms')

    def __init__(
        self,
        view_number: int,
        previous: membership_messages.Host | None,
        is_new: bool,
    ):
        self.view_number = view_number
        self.previous = previous
        self.is_new = is_new
        self.adopted_ms: int | None = None


class OutgoingHandover:
    """The state of a limiter that is being sent to its next owner.

    :param expires_ms: when all grants in it have expired, so that the next
        owner no longer needs it
    """

    __slots__ = ('handover', 'address', 'expires_ms', 'sending')

    def __init__(
        self,
        handover: rate_messages.HandOverRate,
        address: str,
        expires_ms: int,
    ):
        self.handover = handover
        self.address = address
        self.expires_ms = expires_ms
        self.sending = False


class RateOwners:
    """Starts and stops rate limiters as views and bundles change.

    A new owner starts with the old owner's state. When the old owner was
    evicted, it starts with an empty bucket once all live hosts have adopted
    a view without the old owner: by then they have dropped its grants. When
    the state does not come, it starts once all grants must have expired.
    """

    def __init__(
        self,
        membership: membership_protocols.Membership,
        directory: directories.Directory,
        clock: clocks.Clock,
        settings: scheduling_settings.SchedulingSettings,
    ):
        self._membership = membership
        self._directory = directory
        self._clock = clock
        self._settings = settings
        self._bundle: models.Bundle | None = None
        self._active: dict[str, limiters.RateLimiter] = {}
        self._pending_ownerships: dict[str, PendingOwnership] = {}
        self._outgoing_handovers: list[OutgoingHandover] = []
        self._lock = threading.RLock()

    def request(
        self, request: rate_messages.RequestGrant
    ) -> rate_messages.Grant:
        """Answers a host's grant request.

        :raises NotOwnerError: when this host runs no limiter for the workspace
        """
        limiter = self._active.get(request.workspace)
        if limiter is None:
            raise errors.NotOwnerError(request.workspace)
        return limiter.request(request)

    def active(self) -> dict[str, limiters.RateLimiter]:
        """Returns the running limiters by workspace."""
        return dict(self._active)

    def on_membership_change(
        self,
        old: membership_protocols.HostState,
        new: membership_protocols.HostState,
    ) -> None:
        """Applies a newer view or bundle."""
        with self._lock:
            self._bundle = new.bundle
            workspaces = _workspaces_of(new.bundle)
            for name in [n for n in self._active if n not in workspaces]:
                self._active.pop(name).retire()
            for name in [
                n for n in self._pending_ownerships if n not in workspaces
            ]:
                del self._pending_ownerships[name]
            for name, workspace in workspaces.items():
                is_new = _is_new_workspace(name, old, new)
                self._update_workspace(workspace, is_new, old, new)
            for name, pending in list(self._pending_ownerships.items()):
                self._begin_if_safe(name, pending, new)

    def accept_handover(self, handover: rate_messages.HandOverRate) -> None:
        """Starts a limiter with the state of the old owner.

        :raises NotOwnerError: when this host expects no handover of that view
        """
        with self._lock:
            name = handover.workspace
            pending = self._pending_ownerships.get(name)
            expected = pending is not None and (
                pending.view_number == handover.view_number
            )
            if not expected:
                raise errors.NotOwnerError(name)
            workspace = self._workspace(name)
            self._begin(
                name,
                limiters.RateLimiter.take_over(
                    handover, workspace, self._clock, self._settings
                ),
            )

    def run_maintenance(self) -> None:
        """Starts limiters that may start now, and sends pending handovers."""
        with self._lock:
            state = self._membership.state()
            for name, pending in list(self._pending_ownerships.items()):
                self._begin_if_safe(name, pending, state)
            to_send = [d for d in self._outgoing_handovers if not d.sending]
            for outgoing in to_send:
                outgoing.sending = True
        for outgoing in to_send:
            self._send(outgoing)

    def _update_workspace(
        self,
        workspace: models.Workspace,
        is_new: bool,
        old: membership_protocols.HostState,
        new: membership_protocols.HostState,
    ) -> None:
        name = workspace.name
        owner = _find_owner(new.view, name)
        is_owner = (
            owner is not None and owner.name == self._membership.host.name
        )
        if name in self._active:
            if is_owner:
                self._active[name].update(workspace)
            elif owner is not None:
                self._hand_over(name, owner, new.view.number)
            else:
                self._active.pop(name).retire()
        elif not is_owner:
            self._pending_ownerships.pop(name, None)
        elif name not in self._pending_ownerships:
            previous = self._previous_owner(name, old.view, new.view)
            self._pending_ownerships[name] = PendingOwnership(
                new.view.number, previous, is_new
            )

    def _previous_owner(
        self,
        name: str,
        old: membership_messages.View,
        new: membership_messages.View,
    ) -> membership_messages.Host | None:
        previous = _find_owner(old, name)
        own_host = self._membership.host
        if previous is not None and previous.name != own_host.name:
            return previous
        others = [host for host in new.hosts if host.name != own_host.name]
        return _find_owner(membership_messages.View(0, others), name)

    def _begin_if_safe(
        self,
        name: str,
        pending: PendingOwnership,
        state: membership_protocols.HostState,
    ) -> None:
        """Starts without a handover once no old grant can be spent."""
        if pending.is_new:
            self._begin_without_handover(name, pending, full=True)
            return
        if state.adopted_view_number < pending.view_number:
            return
        now_ms = self._clock.now_ms()
        if pending.adopted_ms is None:
            pending.adopted_ms = now_ms
        all_adopted = state.adopted_view_number >= state.view.number
        evicted = pending.previous is not None and not _is_live(
            pending.previous, state.view
        )
        if evicted and all_adopted:
            self._begin_without_handover(name, pending)
            return
        limit_ms = self._settings.grant_valid_ms
        limit_ms += self._settings.grant_margin_ms
        if now_ms - pending.adopted_ms >= limit_ms:
            self._begin_without_handover(name, pending)

    def _begin_without_handover(
        self, name: str, pending: PendingOwnership, full: bool = False
    ) -> None:
        workspace = self._workspace(name)
        level = workspace.burst_tokens if full else 0
        limiter = limiters.RateLimiter(
            workspace,
            self._clock,
            self._settings,
            level,
            pending.view_number,
        )
        self._begin(name, limiter)

    def _begin(self, name: str, limiter: limiters.RateLimiter) -> None:
        self._pending_ownerships.pop(name, None)
        self._active[name] = limiter
        LOG.info(
            'became the owner of the rate limiter', extra={'workspace': name}
        )

    def _workspace(self, name: str) -> models.Workspace:
        bundle = self._bundle
        workspace = bundle.workspace(name) if bundle is not None else None
        if workspace is None:
            raise errors.NotOwnerError(name)
        return workspace

    def _hand_over(
        self, name: str, owner: membership_messages.Host, view_number: int
    ) -> None:
        limiter = self._active.pop(name)
        handover = limiter.hand_over(view_number)
        limit_ms = self._settings.grant_valid_ms
        limit_ms += self._settings.grant_margin_ms
        outgoing = OutgoingHandover(
            handover, owner.peer_address, self._clock.now_ms() + limit_ms
        )
        self._outgoing_handovers.append(outgoing)
        LOG.info(
            'handing the rate limiter over to its next owner',
            extra={'workspace': name, 'host': owner.name},
        )

    def _send(self, outgoing: OutgoingHandover) -> None:
        peer = self._directory.find(outgoing.address)
        future = peer.submit(outgoing.handover, HAND_OVER_TIMEOUT_MS)
        future.add_done_callback(
            lambda done: self._handle_delivery(outgoing, done)
        )

    def _handle_delivery(self, outgoing: OutgoingHandover, done) -> None:
        """Stops sending a handover that arrived, is outdated or has expired.

        Any other is sent again by ``run_maintenance``.
        """
        outgoing.sending = False
        error = done.exception()
        refused = isinstance(error, wire_errors.RemoteError)
        view = self._membership.state().view
        stale = outgoing.handover.view_number < view.number and refused
        expired = self._clock.now_ms() >= outgoing.expires_ms
        if error is None or stale or expired:
            with self._lock:
                self._outgoing_handovers.remove(outgoing)


def _is_new_workspace(
    name: str,
    old: membership_protocols.HostState,
    new: membership_protocols.HostState,
) -> bool:
    """Returns whether a workspace is new, so that no grants exist."""
    if old.bundle is None:
        first = new.bundle.version == FIRST_BUNDLE_VERSION
        return first and old.view.number > 0
    return old.bundle.workspace(name) is None


def _workspaces_of(
    bundle: models.Bundle | None,
) -> dict[str, models.Workspace]:
    if bundle is None:
        return {}
    return {workspace.name: workspace for workspace in bundle.workspaces}


def _find_owner(
    view: membership_messages.View, name: str
) -> membership_messages.Host | None:
    return ownership.find_owner(view, ownership.KIND_WORKSPACE, name)


def _is_live(
    host: membership_messages.Host, view: membership_messages.View
) -> bool:
    found = view.host(host.name)
    return found is not None and found.incarnation == host.incarnation
