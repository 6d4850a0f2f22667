"""The registry of the current view, incarnations and evictions."""

import collections

from masticquay_control import commands
from masticquay_membership import messages as membership_messages
from masticquay_wire import messages
from masticquay_wire import records

MAX_EVICTIONS = 2_000


class Incarnation(records.Record):
    """The newest incarnation number assigned to a host name.

    :param token: the token of the OpenSession request that it was assigned to
    :param ended: whether it was evicted from the view
    """

    __slots__ = ('host', 'number', 'token', 'ended')

    def __init__(
        self, host: str, number: int, token: bytes, ended: bool = False
    ):
        self.host = host
        self.number = number
        self.token = token
        self.ended = ended


class Eviction(records.Record):
    """The eviction of an incarnation from the view, at a log index."""

    __slots__ = ('index', 'host', 'incarnation')

    def __init__(self, index: int, host: str, incarnation: int):
        self.index = index
        self.host = host
        self.incarnation = incarnation


class ViewSnapshot(records.Record):
    """The contents of the registry.

    :param last_incarnation: the highest number assigned to any host
    """

    __slots__ = ('current', 'incarnations', 'evictions', 'last_incarnation')

    def __init__(
        self,
        current: membership_messages.ViewChange,
        incarnations: list[Incarnation],
        evictions: list[Eviction],
        last_incarnation: int,
    ):
        self.current = current
        self.incarnations = incarnations
        self.evictions = evictions
        self.last_incarnation = last_incarnation


class ViewRegistry:
    """Assigns the numbers of incarnations and views.

    Remembers the last ``MAX_EVICTIONS`` evictions.
    """

    def __init__(self) -> None:
        self.current = membership_messages.ViewChange(
            0, membership_messages.View(0, [])
        )
        self._incarnations: dict[str, Incarnation] = {}
        self._evictions: collections.deque[Eviction] = collections.deque(
            maxlen=MAX_EVICTIONS
        )
        self._last_incarnation = 0
        self._live_incarnations: dict[str, int] = {}

    @property
    def view(self) -> membership_messages.View:
        """The current view."""
        return self.current.view

    def open_session(
        self, command: membership_messages.OpenSession
    ) -> messages.Message:
        """Assigns the next incarnation number; a resend gets the same one."""
        known = self._incarnations.get(command.host)
        if known is not None and known.token == command.token:
            return membership_messages.SessionOpened(known.number)
        self._last_incarnation += 1
        self._incarnations[command.host] = Incarnation(
            command.host, self._last_incarnation, command.token
        )
        return membership_messages.SessionOpened(self._last_incarnation)

    def may_join(self, host: str, incarnation: int) -> bool:
        """Whether an incarnation is its host's newest and was not evicted."""
        known = self._incarnations.get(host)
        return (
            known is not None
            and known.number == incarnation
            and not known.ended
        )

    def is_live(self, host: str, incarnation: int) -> bool:
        """Whether an incarnation is in the current view."""
        return self._live_incarnations.get(host) == incarnation

    def change(
        self, index: int, command: commands.ChangeView
    ) -> messages.Message:
        """Creates the next view, by compare-and-set on the view number.

        :returns: Done, or a Failure ``conflict`` if the number is not current
        """
        if command.expected_number != self.view.number:
            return messages.Failure(
                membership_messages.CODE_CONFLICT,
                f'the current view number is {self.view.number}',
            )
        hosts = {host.name: host for host in self.view.hosts}
        for removal in command.removed:
            listed = hosts.get(removal.host)
            if listed and listed.incarnation == removal.incarnation:
                del hosts[removal.host]
                self._record_eviction(index, removal)
        for host in command.put:
            hosts[host.name] = host
        ordered = [hosts[name] for name in sorted(hosts)]
        view = membership_messages.View(self.view.number + 1, ordered)
        self._set_current(membership_messages.ViewChange(index, view))
        return messages.Done()

    def _set_current(self, change: membership_messages.ViewChange) -> None:
        self.current = change
        self._live_incarnations = {
            host.name: host.incarnation for host in change.view.hosts
        }

    def _record_eviction(self, index: int, removal: commands.Removal) -> None:
        self._evictions.append(
            Eviction(index, removal.host, removal.incarnation)
        )
        known = self._incarnations.get(removal.host)
        if known is not None and known.number == removal.incarnation:
            known.ended = True

    def evicted_since(self, index: int) -> list[str]:
        """Returns the sorted names of hosts evicted after a log index."""
        names = {
            eviction.host
            for eviction in self._evictions
            if eviction.index > index
        }
        return sorted(names)

    def take_snapshot(self) -> ViewSnapshot:
        """Returns the contents of the registry."""
        return ViewSnapshot(
            self.current,
            list(self._incarnations.values()),
            list(self._evictions),
            self._last_incarnation,
        )

    def restore(self, snapshot: ViewSnapshot) -> None:
        """Replaces the contents of the registry."""
        self._set_current(snapshot.current)
        self._incarnations = {
            entry.host: entry for entry in snapshot.incarnations
        }
        self._evictions = collections.deque(
            snapshot.evictions, maxlen=MAX_EVICTIONS
        )
        self._last_incarnation = snapshot.last_incarnation
