"""A search of the interleavings of owner changes for two owners at once."""

import copy
import unittest

from masticquay_membership import handovers
from masticquay_membership import messages as membership
from masticquay_membership import ownership
from masticquay_membership import protocols


def make_host(name, leaving=False):
    return membership.Host(name, ord(name), 'p', '', '', leaving)


class CachedThing(handovers.Thing):
    """Remembers the owners, since views of one number are the same."""

    def __init__(self, kind, name):
        super().__init__(kind, name)
        self._owners = {}

    def owner_in(self, view):
        found = self._owners.get(id(view))
        if found is None:
            found = (view, super().owner_in(view))
            self._owners[id(view)] = found
        return found[1]


def find_thing(*ranking):
    """Finds a name whose owners rank as wanted."""
    view = membership.View(1, [make_host(name) for name in ranking])
    for number in range(10_000):
        ranked = ownership.rank_hosts(view, 'pool', f't{number}')
        if [host.name for host in ranked] == list(ranking):
            return CachedThing('pool', f't{number}')
    raise AssertionError('no such name')


class FakeMember:
    """A host whose state and lease the search sets."""

    def __init__(self, name):
        self.host = make_host(name)
        self.live = True
        self._listeners = []
        self.set_state(membership.View(0, []), 0)

    def set_state(self, view, adopted):
        self._state = protocols.HostState(
            0, None, 0, frozenset(), view, adopted
        )
        for listener in self._listeners:
            listener(None, self._state)

    def state(self):
        return self._state

    def lease_valid(self):
        return self.live

    def add_listener(self, listener):
        self._listeners.append(listener)


class Model:
    """Control and a few hosts, moved by named events.

    :param views: the views that control commits, in order; a host absent
        from a later one has stopped before that is committed
    """

    def __init__(self, thing, views, make_handovers):
        self.thing = thing
        self.views = [membership.View(0, []), *views]
        names = {host.name for view in views for host in view.hosts}
        self.members = {name: FakeMember(name) for name in sorted(names)}
        self.handovers = {
            name: make_handovers(member)
            for name, member in self.members.items()
        }
        self.committed = 1
        self.acked = dict.fromkeys(self.members, 0)
        self.answers = dict.fromkeys(self.members, 0)
        self.notes = []
        self.acted = dict.fromkeys(self.members, -1)

    def copy(self):
        """Returns a model in the same state."""
        twin = copy.copy(self)
        twin.members = {}
        twin.handovers = {}
        for name, member in self.members.items():
            other = FakeMember(name)
            other.live = member.live
            other._state = member._state
            handover = type(self.handovers[name])(other)
            handover._views = dict(self.handovers[name]._views)
            handover._notes = {
                key: list(notes)
                for key, notes in self.handovers[name]._notes.items()
            }
            twin.members[name] = other
            twin.handovers[name] = handover
        twin.acked = dict(self.acked)
        twin.answers = dict(self.answers)
        twin.notes = list(self.notes)
        twin.acted = dict(self.acted)
        return twin

    def events(self):
        """Lists what may happen next."""
        if self.committed + 1 < len(self.views):
            yield ('commit',)
        live = self.views[self.committed]
        for name, member in self.members.items():
            if not member.live:
                continue
            applied = member.state().view.number
            for number in range(applied + 1, self.committed + 1):
                yield ('apply', name, number)
            if self.acked[name] < applied:
                yield ('ack', name)
            if live.host(name) and self.answers[name] < self.adopted():
                yield ('answer', name)
            if member.state().adopted_view_number < self.answers[name]:
                yield ('receive', name)
        for number in range(len(self.notes)):
            yield ('settle', number)

    def adopted(self):
        return min(
            self.acked[host.name] for host in self.views[self.committed].hosts
        )

    def run(self, event):
        getattr(self, '_' + event[0])(*event[1:])

    def note_acting(self, name):
        """Only events at a host itself can let it act."""
        if self.handovers[name].ownership(self.thing).may_act:
            self.acted[name] = self.members[name].state().view.number

    def acting(self):
        return [
            name
            for name, handover in self.handovers.items()
            if handover.ownership(self.thing).may_act
        ]

    def _commit(self):
        self.committed += 1
        for name, member in self.members.items():
            was_in = self.views[self.committed - 1].host(name)
            if was_in and not self.views[self.committed].host(name):
                member.live = False

    def _apply(self, name, number):
        member = self.members[name]
        acted = self.acted[name]
        member.set_state(
            self.views[number], member.state().adopted_view_number
        )
        owner = self.thing.owner_in(self.views[number])
        if acted >= 0 and owner and owner.name != name:
            note = handovers.HandedOver(name, ord(name), number, acted)
            self.notes.append((owner.name, note))
            self.acted[name] = -1
        self.note_acting(name)

    def _ack(self, name):
        self.acked[name] = self.members[name].state().view.number

    def _answer(self, name):
        self.answers[name] = self.adopted()

    def _receive(self, name):
        member = self.members[name]
        member.set_state(member.state().view, self.answers[name])
        self.note_acting(name)

    def _settle(self, number):
        target, note = self.notes.pop(number)
        self.handovers[target].note_handed_over(self.thing, note)
        self.note_acting(target)

    def key(self):
        return (
            self.committed,
            tuple(
                (
                    m.live,
                    m.state().view.number,
                    m.state().adopted_view_number,
                )
                for m in self.members.values()
            ),
            tuple(self.acked.values()),
            tuple(self.answers.values()),
            tuple(self.acted.values()),
            tuple((t, n.host, n.view_number) for t, n in self.notes),
            tuple(
                (key, len(notes))
                for handover in self.handovers.values()
                for key, notes in handover._notes.items()
            ),
        )


class Search:
    """Walks all interleavings, skipping states that were seen."""

    def __init__(self, thing, views, make_handovers=handovers.Handovers):
        self._start = Model(thing, views, make_handovers)
        self.seen = set()
        self.acted_in_newest = False

    def find_double_owner(self):
        """Returns the events that lead to two acting owners, or None."""
        open_models = [(self._start, [])]
        while open_models:
            model, path = open_models.pop()
            acting = model.acting()
            if len(acting) > 1:
                return path
            self._note_progress(model, acting)
            for event in model.events():
                following = model.copy()
                following.run(event)
                if following.key() not in self.seen:
                    self.seen.add(following.key())
                    open_models.append((following, [*path, event]))
        return None

    def _note_progress(self, model, acting):
        last = len(model.views) - 1
        if acting and model.members[acting[0]].state().view.number == last:
            self.acted_in_newest = True


class PreviousViewOnly(handovers.Handovers):
    """The tempting wrong rule: looks at the view just before only."""

    def _is_settled(self, thing, state, host):
        before = self._views.get(state.view.number - 1)
        former = thing.owner_in(before) if before is not None else None
        if state.adopted_view_number >= state.view.number or former is None:
            return True
        return state.view.host(former.name) is None


class HandoverSearchTest(unittest.TestCase):
    def check(self, thing, views):
        search = Search(thing, views)
        self.assertIsNone(search.find_double_owner())
        self.assertTrue(search.acted_in_newest)

    def test_owner_changes_to_a_host_that_joins(self):
        a, b = make_host('A'), make_host('B')
        self.check(
            find_thing('B', 'A'),
            [membership.View(1, [a]), membership.View(2, [a, b])],
        )

    def test_owner_leaves(self):
        a, b = make_host('A'), make_host('B')
        leaving = make_host('A', leaving=True)
        self.check(
            find_thing('A', 'B'),
            [membership.View(1, [a, b]), membership.View(2, [leaving, b])],
        )

    def three_views(self):
        a, b, c = make_host('A'), make_host('B'), make_host('C')
        leaving = make_host('A', leaving=True)
        return [
            membership.View(1, [a, b]),
            membership.View(2, [a, b, c]),
            membership.View(3, [leaving, b]),
        ]

    def test_owner_in_between_is_evicted(self):
        self.check(find_thing('C', 'A', 'B'), self.three_views())

    def test_owner_comes_back(self):
        a, b = make_host('A'), make_host('B')
        leaving = make_host('A', leaving=True)
        self.check(
            find_thing('A', 'B'),
            [
                membership.View(1, [a, b]),
                membership.View(2, [leaving, b]),
                membership.View(3, [a, b]),
            ],
        )

    def test_search_finds_the_fault_of_the_previous_view_rule(self):
        search = Search(
            find_thing('C', 'A', 'B'), self.three_views(), PreviousViewOnly
        )
        self.assertIsNotNone(search.find_double_owner())
