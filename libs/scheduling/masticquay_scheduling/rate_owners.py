"""Which rate limiters this host runs, and how they change owners."""

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
FIRST_BUNDLE_VERSION = 1


class Candidacy:
    """A workspace that this host owns but may not grant for yet.

    :param view_number: the view that made this host the owner
    :param previous: the owner before it, None when unknown
    :param fresh: whether the workspace is new, so its bucket is full
    """

    __slots__ = ('view_number', 'previous', 'fresh', 'adopted_ms')

    def __init__(
        self,
        view_number: int,
        previous: membership_messages.Host | None,
        fresh: bool,
    ):
        self.view_number = view_number
        self.previous = previous
        self.fresh = fresh
        self.adopted_ms: int | None = None


class Departure:
    """State on its way to the next owner."""

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
    """Begins and ends rate limiters as views and bundles change.

    A new owner begins with the old owner's state, or, when the old owner was
    evicted, with an empty bucket once all live hosts have adopted a view
    without it: by then they have dropped its grants.
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
        self._candidacies: dict[str, Candidacy] = {}
        self._departures: list[Departure] = []
        self._lock = threading.RLock()

    def request(
        self, request: rate_messages.RequestGrant
    ) -> rate_messages.Grant:
        """Answers a host's request.

        :raises NotOwnerError: when this host does not grant
        """
        limiter = self._active.get(request.workspace)
        if limiter is None:
            raise errors.NotOwnerError(request.workspace)
        return limiter.request(request)

    def active(self) -> dict[str, limiters.RateLimiter]:
        """Returns the limiters that grant now."""
        return dict(self._active)

    def follow(
        self,
        old: membership_protocols.HostState,
        new: membership_protocols.HostState,
    ) -> None:
        """Adapts to a newer state."""
        with self._lock:
            self._bundle = new.bundle
            workspaces = _workspaces_of(new.bundle)
            for name in [n for n in self._active if n not in workspaces]:
                self._active.pop(name).retire()
            for name in [n for n in self._candidacies if n not in workspaces]:
                del self._candidacies[name]
            for name, workspace in workspaces.items():
                fresh = _is_fresh(name, old, new)
                self._follow_workspace(workspace, fresh, old, new)
            for name, candidacy in list(self._candidacies.items()):
                self._consider(name, candidacy, new)

    def accept(self, handover: rate_messages.HandOverRate) -> None:
        """Takes the state of an old owner.

        :raises NotOwnerError: when this host does not wait for it
        """
        with self._lock:
            name = handover.workspace
            candidacy = self._candidacies.get(name)
            expected = candidacy is not None and (
                candidacy.view_number == handover.view_number
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

    def upkeep(self) -> None:
        """Begins what may begin, and sends what is to be handed over."""
        with self._lock:
            state = self._membership.state()
            for name, candidacy in list(self._candidacies.items()):
                self._consider(name, candidacy, state)
            departures = [d for d in self._departures if not d.sending]
            for departure in departures:
                departure.sending = True
        for departure in departures:
            self._send(departure)

    def _follow_workspace(
        self,
        workspace: models.Workspace,
        fresh: bool,
        old: membership_protocols.HostState,
        new: membership_protocols.HostState,
    ) -> None:
        name = workspace.name
        owner = _find_owner(new.view, name)
        mine = owner is not None and owner.name == self._membership.host.name
        if name in self._active:
            if mine:
                self._active[name].update(workspace)
            elif owner is not None:
                self._hand_over(name, owner, new.view.number)
            else:
                self._active.pop(name).retire()
        elif not mine:
            self._candidacies.pop(name, None)
        elif name not in self._candidacies:
            previous = self._previous_owner(name, old.view, new.view)
            self._candidacies[name] = Candidacy(
                new.view.number, previous, fresh
            )

    def _previous_owner(
        self,
        name: str,
        old: membership_messages.View,
        new: membership_messages.View,
    ) -> membership_messages.Host | None:
        previous = _find_owner(old, name)
        me = self._membership.host
        if previous is not None and previous.name != me.name:
            return previous
        others = [host for host in new.hosts if host.name != me.name]
        return _find_owner(membership_messages.View(0, others), name)

    def _consider(
        self,
        name: str,
        candidacy: Candidacy,
        state: membership_protocols.HostState,
    ) -> None:
        """Begins without a handover, if no one can have granted by now."""
        if candidacy.fresh:
            self._begin_with(name, candidacy, full=True)
            return
        if state.adopted_view_number < candidacy.view_number:
            return
        now_ms = self._clock.now_ms()
        if candidacy.adopted_ms is None:
            candidacy.adopted_ms = now_ms
        all_adopted = state.adopted_view_number >= state.view.number
        evicted = candidacy.previous is not None and not _lives(
            candidacy.previous, state.view
        )
        if evicted and all_adopted:
            self._begin_with(name, candidacy)
            return
        limit_ms = self._settings.grant_valid_ms
        limit_ms += self._settings.grant_margin_ms
        if now_ms - candidacy.adopted_ms >= limit_ms:
            self._begin_with(name, candidacy)

    def _begin_with(
        self, name: str, candidacy: Candidacy, full: bool = False
    ) -> None:
        workspace = self._workspace(name)
        level = workspace.burst_tokens if full else 0
        limiter = limiters.RateLimiter(
            workspace,
            self._clock,
            self._settings,
            level,
            candidacy.view_number,
        )
        self._begin(name, limiter)

    def _begin(self, name: str, limiter: limiters.RateLimiter) -> None:
        self._candidacies.pop(name, None)
        self._active[name] = limiter
        LOG.info('rate limiter taken', extra={'workspace': name})

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
        departure = Departure(
            handover, owner.peer_address, self._clock.now_ms() + limit_ms
        )
        self._departures.append(departure)
        LOG.info(
            'rate limiter handed over',
            extra={'workspace': name, 'host': owner.name},
        )

    def _send(self, departure: Departure) -> None:
        peer = self._directory.find(departure.address)
        future = peer.submit(departure.handover, HAND_OVER_TIMEOUT_MS)
        future.add_done_callback(lambda done: self._sent(departure, done))

    def _sent(self, departure: Departure, done) -> None:
        departure.sending = False
        error = done.exception()
        refused = isinstance(error, wire_errors.RemoteError)
        view = self._membership.state().view
        stale = departure.handover.view_number < view.number and refused
        expired = self._clock.now_ms() >= departure.expires_ms
        if error is None or stale or expired:
            with self._lock:
                self._departures.remove(departure)


def _is_fresh(
    name: str,
    old: membership_protocols.HostState,
    new: membership_protocols.HostState,
) -> bool:
    """Whether a workspace was declared just now, so nobody has granted."""
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


def _lives(
    host: membership_messages.Host, view: membership_messages.View
) -> bool:
    found = view.host(host.name)
    return found is not None and found.incarnation == host.incarnation
