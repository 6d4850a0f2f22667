"""Formation of a new group, when every data folder is empty."""

import contextlib

from masticquay_consensus import errors
from masticquay_consensus import founders
from masticquay_consensus import messages
from masticquay_consensus import protocols
from masticquay_consensus import replicas
from masticquay_consensus import settings as settings_module
from masticquay_wire import errors as wire_errors
from masticquay_wire import peers

Identities = dict[str, messages.Identity]


class Formation:
    """Forms a group once all voters are running and none belongs to a group.

    A founder is a voter that has had its disk since the whole system started
    for the first time; another one cannot know whether a group exists. The
    founder whose name sorts first claims the formation at all voters and sends
    them the configuration. A voter whose disk was lost takes part.

    :param founder: this replica's answers to the others
    """

    def __init__(
        self,
        replica: replicas.Replica,
        name: str,
        founder: founders.Founder,
        link_factory: protocols.LinkFactory,
        settings: settings_module.Settings,
    ):
        self._replica = replica
        self._name = name
        self._founder = founder
        self._voters = sorted(founder.voters, key=lambda voter: voter.name)
        self._link_factory = link_factory
        self._settings = settings

    def attempt(self) -> bool:
        """Tries once to form or to join a group.

        :returns: whether this replica belongs to a group now
        """
        if all(voter.name != self._name for voter in self._voters):
            # This replica is no founder.
            return False
        with contextlib.suppress(errors.NoRoomError):
            self._attempt()
        return self._replica.knows_members

    def _attempt(self) -> None:
        identities = self._identify(messages.Identify())
        if identities is None:
            return
        if self._is_first(identities):
            identities = self._identify(messages.Identify(claims=True))
            if identities is not None and self._is_blank(identities):
                self._form_group(identities)
        else:
            self._join_group(identities)

    def _identify(self, message: messages.Identify) -> Identities | None:
        """Asks all voters; returns None if one does not answer."""
        identities = {}
        for voter in self._voters:
            identity = self._call(voter, message)
            if identity is None:
                return None
            identities[voter.name] = identity
        return identities

    def _is_blank(self, identities: Identities) -> bool:
        """Whether no voter belongs to a group."""
        return all(i.configuration is None for i in identities.values())

    def _is_first(self, identities: Identities) -> bool:
        """Whether it is for this replica to form the group."""
        founder_names = [n for n, i in identities.items() if i.is_founder]
        return self._is_blank(identities) and self._name == min(founder_names)

    def _join_group(self, identities: Identities) -> None:
        """Joins the group of another voter, if it includes this replica."""
        own_id = self._replica.state.replica_id
        for identity in identities.values():
            configuration = identity.configuration
            if configuration is not None and configuration.member(own_id):
                self._replica.join_group(configuration)
                return

    def _form_group(self, identities: Identities) -> None:
        """Sends the configuration to all voters, until one does not take it.

        This replica takes it last.
        """
        configuration = messages.Configuration(
            [
                messages.Member(
                    identities[v.name].replica_id, v.name, v.address, True
                )
                for v in self._voters
            ]
        )
        for voter in sorted(self._voters, key=lambda v: v.name == self._name):
            identity = identities[voter.name]
            request = messages.FormGroup(
                identity.replica_id, configuration, identity.claim
            )
            answer = self._call(voter, request)
            if answer is None or answer.configuration != configuration:
                return

    def _call(
        self,
        voter: founders.Voter,
        message: messages.Identify | messages.FormGroup,
    ) -> messages.Identity | None:
        """Returns a voter's answer, None if the call failed."""
        if voter.name == self._name:
            return self._call_itself(message)
        link = self._link_factory(peers.Address.parse(voter.address))
        try:
            answer = link.call(message, self._settings.call_timeout_ms)
        except wire_errors.WireError:
            return None
        finally:
            link.close()
        return answer if isinstance(answer, messages.Identity) else None

    def _call_itself(
        self, message: messages.Identify | messages.FormGroup
    ) -> messages.Identity | None:
        try:
            if isinstance(message, messages.Identify):
                return self._founder.identify(message)
            return self._founder.form_group(message)
        except wire_errors.RemoteError:
            return None
