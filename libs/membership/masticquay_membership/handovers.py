"""When the new owner of a pool or workspace may act."""

import threading

from masticquay_membership import messages as membership
from masticquay_membership import ownership
from masticquay_membership import protocols


class Thing:
    """What has one owner in each view."""

    __slots__ = ('kind', 'name', 'place')

    def __init__(self, kind: str, name: str, place: str = ''):
        self.kind = kind
        self.name = name
        self.place = place

    def key(self) -> tuple[str, str, str]:
        """Returns the thing's identity."""
        return (self.kind, self.name, self.place)

    def owner_in(self, view: membership.View) -> membership.Host | None:
        """Returns the owner in a view."""
        return ownership.find_owner(view, self.kind, self.name, self.place)


class Ownership:
    """Who owns a thing, as this host knows it.

    :param owned: whether this host is the owner in its newest view
    :param may_act: whether it may act as such: its lease is valid, and no
        former owner can still be acting
    :param previous_owner: the owner in the view before, to ask for its state
    """

    __slots__ = ('owner', 'previous_owner', 'owned', 'may_act')

    def __init__(
        self,
        owner: membership.Host | None,
        previous_owner: membership.Host | None,
        owned: bool,
        may_act: bool,
    ):
        self.owner = owner
        self.previous_owner = previous_owner
        self.owned = owned
        self.may_act = may_act


class HandedOver:
    """A former owner's word that it has stopped.

    :param view_number: the view it had adopted when it stopped
    :param acted_view_number: the newest view under which it had acted, -1
        when it never might
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


class Handovers:
    """Follows the views of a host and settles who may act.

    A host that has not adopted the newest view may still act under an older
    one. So the new owner looks at the owner of every view since the newest
    one that all live hosts adopted: each must be out of the newest view, or
    have handed over. Views that this host skipped have unknown owners; then
    it waits until all live hosts adopted its newest view.
    """

    def __init__(self, member: protocols.Membership):
        self._member = member
        self._lock = threading.Lock()
        self._views = {0: membership.View(0, [])}
        self._notes: dict[tuple[str, str, str], list[HandedOver]] = {}
        self._follow(member.state())
        member.add_listener(lambda old, new: self._follow(new))

    def ownership(self, thing: Thing) -> Ownership:
        """Returns who owns a thing and whether this host may act on it."""
        state = self._member.state()
        self._follow(state)
        host = self._member.host
        owner = thing.owner_in(state.view)
        owned = owner is not None and _same(owner, host)
        with self._lock:
            before = self._views.get(state.view.number - 1)
            settled = owned and self._is_settled(thing, state, host)
        return Ownership(
            owner,
            thing.owner_in(before) if before is not None else None,
            owned,
            settled and self._member.lease_valid(),
        )

    def note_handed_over(self, thing: Thing, note: HandedOver) -> None:
        """Notes that a former owner has stopped and sent its state."""
        with self._lock:
            notes = self._notes.setdefault(thing.key(), [])
            if not any(_repeats(known, note) for known in notes):
                notes.append(note)

    def _follow(self, state: protocols.HostState) -> None:
        """Keeps the views since the newest that all have adopted."""
        with self._lock:
            self._views[state.view.number] = state.view
            oldest = min(state.adopted_view_number, state.view.number - 1)
            for number in [n for n in self._views if n < oldest]:
                del self._views[number]
            for key, notes in list(self._notes.items()):
                kept = [n for n in notes if n.view_number > oldest]
                if kept:
                    self._notes[key] = kept
                else:
                    del self._notes[key]

    def _is_settled(
        self,
        thing: Thing,
        state: protocols.HostState,
        host: membership.Host,
    ) -> bool:
        notes = self._notes.get(thing.key(), [])
        first = state.adopted_view_number
        for note in notes:
            first = max(first, note.acted_view_number)
        for number in range(first, state.view.number):
            view = self._views.get(number)
            if view is None:
                return False
            former = thing.owner_in(view)
            if former is None or _same(former, host):
                continue
            live = state.view.host(former.name)
            if live is None or not _same(live, former):
                continue
            if not any(_covers(note, former, number) for note in notes):
                return False
        return True


def _same(one: membership.Host, other: membership.Host) -> bool:
    return one.name == other.name and one.incarnation == other.incarnation


def _covers(note: HandedOver, former: membership.Host, number: int) -> bool:
    return (
        note.host == former.name
        and note.incarnation == former.incarnation
        and note.view_number > number
    )


def _repeats(known: HandedOver, note: HandedOver) -> bool:
    return (
        known.host == note.host
        and known.incarnation == note.incarnation
        and known.view_number >= note.view_number
        and known.acted_view_number >= note.acted_view_number
    )
