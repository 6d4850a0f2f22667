"""Hand-over of pools and workspaces from one owner to the next."""

import threading

from masticquay_membership import messages as membership_messages
from masticquay_membership import ownership
from masticquay_membership import protocols


class Resource:
    """A pool or workspace, which has at most one owner in each view.

    :param kind: a ``KIND_*`` constant of ``ownership``
    :param place: a data centre whose hosts are preferred as the owner
    """

    __slots__ = ('kind', 'name', 'place')

    def __init__(self, kind: str, name: str, place: str = ''):
        self.kind = kind
        self.name = name
        self.place = place

    def key(self) -> tuple[str, str, str]:
        """Returns a hashable key that identifies the resource."""
        return (self.kind, self.name, self.place)

    def owner_in(
        self, view: membership_messages.View
    ) -> membership_messages.Host | None:
        """Returns the owner in a view, None if there is none."""
        return ownership.find_owner(view, self.kind, self.name, self.place)


class Ownership:
    """Who owns a resource, according to this host's newest view.

    :param owner: the owner in the newest view, None if there is none
    :param previous_owner: the owner in the view before it, from which to fetch
        the resource's state; None if there is none or it is unknown
    :param owned: whether this host is the owner
    :param may_act: whether this host may act as the owner: its lease is valid
        and no former owner can still be acting
    """

    __slots__ = ('owner', 'previous_owner', 'owned', 'may_act')

    def __init__(
        self,
        owner: membership_messages.Host | None,
        previous_owner: membership_messages.Host | None,
        owned: bool,
        may_act: bool,
    ):
        self.owner = owner
        self.previous_owner = previous_owner
        self.owned = owned
        self.may_act = may_act


class HandoverNotice:
    """Notice from a former owner that it has stopped acting.

    :param host: the former owner's name
    :param incarnation: the former owner's incarnation
    :param view_number: the view that it had adopted when it stopped
    :param acted_view_number: the newest view in which it acted as the owner,
        -1 if it never did
    """

    __slots__ = ('host', 'incarnation', 'view_number', 'acted_view_number')

    def __init__(
        self,
        host: str,
        incarnation: int,
        view_number: int,
        acted_view_number: int = -1,
    ):
        self.host = host
        self.incarnation = incarnation
        self.view_number = view_number
        self.acted_view_number = acted_view_number


class HandoverTracker:
    """Tracks a host's views and decides when it may act as an owner.

    A host that has not adopted the newest view may still act as the owner in
    an older one. The new owner therefore checks the owner in every view since
    the newest one that all live hosts have adopted: each must be absent from
    the newest view or have handed over. If this host skipped a view, the
    owner in it is unknown, and this host waits until all live hosts have
    adopted its newest view.
    """

    def __init__(self, member: protocols.Membership):
        self._member = member
        self._lock = threading.Lock()
        self._views = {0: membership_messages.View(0, [])}
        self._notices: dict[tuple[str, str, str], list[HandoverNotice]] = {}
        self._track_view(member.state())
        member.add_listener(lambda old, new: self._track_view(new))

    def ownership(self, resource: Resource) -> Ownership:
        """Returns who owns a resource and whether this host may act on it."""
        state = self._member.state()
        self._track_view(state)
        host = self._member.host
        owner = resource.owner_in(state.view)
        owned = owner is not None and _is_same_incarnation(owner, host)
        with self._lock:
            previous = self._views.get(state.view.number - 1)
            former_owners_stopped = owned and self._former_owners_stopped(
                resource, state, host
            )
        return Ownership(
            owner,
            resource.owner_in(previous) if previous is not None else None,
            owned,
            former_owners_stopped and self._member.lease_valid(),
        )

    def record_handover(
        self, resource: Resource, notice: HandoverNotice
    ) -> None:
        """Records that a former owner of a resource has stopped acting."""
        with self._lock:
            notices = self._notices.setdefault(resource.key(), [])
            if not any(_supersedes(known, notice) for known in notices):
                notices.append(notice)

    def _track_view(self, state: protocols.HostState) -> None:
        """Adds the newest view and drops outdated views and notices.

        Views older than the newest one that all live hosts have adopted are
        outdated; the view before the newest one is always kept.
        """
        with self._lock:
            self._views[state.view.number] = state.view
            oldest = min(state.adopted_view_number, state.view.number - 1)
            for number in [n for n in self._views if n < oldest]:
                del self._views[number]
            for key, notices in list(self._notices.items()):
                kept = [n for n in notices if n.view_number > oldest]
                if kept:
                    self._notices[key] = kept
                else:
                    del self._notices[key]

    def _former_owners_stopped(
        self,
        resource: Resource,
        state: protocols.HostState,
        host: membership_messages.Host,
    ) -> bool:
        """Whether the owners in all earlier views have stopped acting."""
        notices = self._notices.get(resource.key(), [])
        # A former owner acted only after those before it had stopped, so the
        # views before the one in which it acted need no check.
        first_number = state.adopted_view_number
        for notice in notices:
            first_number = max(first_number, notice.acted_view_number)
        for number in range(first_number, state.view.number):
            view = self._views.get(number)
            if view is None:
                return False
            former = resource.owner_in(view)
            if former is None or _is_same_incarnation(former, host):
                continue
            live = state.view.host(former.name)
            if live is None or not _is_same_incarnation(live, former):
                continue
            if not any(
                _shows_stopped(notice, former, number) for notice in notices
            ):
                return False
        return True


def _is_same_incarnation(
    one: membership_messages.Host, other: membership_messages.Host
) -> bool:
    return one.name == other.name and one.incarnation == other.incarnation


def _shows_stopped(
    notice: HandoverNotice, former: membership_messages.Host, number: int
) -> bool:
    return (
        notice.host == former.name
        and notice.incarnation == former.incarnation
        and notice.view_number > number
    )


def _supersedes(known: HandoverNotice, notice: HandoverNotice) -> bool:
    return (
        known.host == notice.host
        and known.incarnation == notice.incarnation
        and known.view_number >= notice.view_number
        and known.acted_view_number >= notice.acted_view_number
    )
