"""Membership changes of the group, one replica at a time."""

from masticquay_consensus import errors
from masticquay_consensus import messages
from masticquay_consensus import protocols
from masticquay_consensus import replicas
from masticquay_consensus import settings as settings_module
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors
from masticquay_wire import peers

# How long an added learner may take to catch up with the log.
SYNC_TIMEOUT_MS = 20_000
SYNC_POLL_MS = 20


class ReplicaChanger:
    """Adds and removes replicas; used by one thread of the leader's node.

    Blocks until each change of the configuration is committed.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        link_factory: protocols.LinkFactory,
        clock: clocks.Clock,
        settings: settings_module.Settings,
    ):
        self._replica = replica
        self._link_factory = link_factory
        self._clock = clock
        self._settings = settings

    def add(self, name: str, address: str) -> messages.Configuration:
        """Adds a learner, waits until it is in sync and promotes it to voter.

        Then removes other replicas of the same name. Resumes an earlier
        attempt that was interrupted.

        :returns: the new configuration
        :raises ConsensusError: when the change failed or its outcome is
            unknown
        """
        self._require_leader()
        replica_id = self._query_identity(name, address)
        if self._configuration().member(replica_id) is None:
            self._add_learner(replica_id, name, address)
        self._wait_until_synced(replica_id)
        self._promote(replica_id)
        for member in self._configuration().members_named(name):
            if member.replica_id != replica_id:
                self._remove_member(member)
        return self._configuration()

    def remove(self, name: str) -> messages.Configuration:
        """Removes all replicas with a name.

        :returns: the new configuration
        :raises ConsensusError: when the change failed or its outcome is
            unknown
        """
        self._require_leader()
        members = self._configuration().members_named(name)
        if not members:
            raise errors.ReplicaChangeError(f'no replica is named {name!r}')
        for member in members:
            self._remove_member(member)
        return self._configuration()

    def remove_replica_by_id(self, replica_id: str) -> messages.Configuration:
        """Removes the replica with an identity, not others of its name.

        :returns: the new configuration
        :raises ConsensusError: when the change failed or its outcome is
            unknown
        """
        self._require_leader()
        member = self._configuration().member(replica_id)
        if member is None:
            raise errors.ReplicaChangeError(
                f'no replica has the identity {replica_id!r}'
            )
        self._remove_member(member)
        return self._configuration()

    def _require_leader(self) -> None:
        if not self._replica.lease_remaining_ms():
            raise errors.NotLeaderError(self._replica.leader_address())

    def _configuration(self) -> messages.Configuration:
        with self._replica.state.lock:
            return self._replica.state.configuration

    def _query_identity(self, name: str, address: str) -> str:
        """Returns the identity of the replica at an address.

        :raises ReplicaChangeError: when it does not answer or has another name
        """
        try:
            link = self._link_factory(peers.Address.parse(address))
            try:
                identity = link.call(
                    messages.Identify(), self._settings.call_timeout_ms * 5
                )
            finally:
                link.close()
        except (wire_errors.WireError, ValueError) as cause:
            raise errors.ReplicaChangeError(str(cause)) from cause
        if identity.name != name:
            raise errors.ReplicaChangeError(
                f'the replica at {address} is named {identity.name!r}'
            )
        return identity.replica_id

    def _add_learner(self, replica_id: str, name: str, address: str) -> None:
        learner = messages.Member(replica_id, name, address, voter=False)
        self._commit([*self._configuration().members, learner])

    def _wait_until_synced(self, replica_id: str) -> None:
        deadline_ms = self._clock.now_ms() + SYNC_TIMEOUT_MS
        while not self._replica.is_synced(replica_id):
            self._require_leader()
            if self._clock.now_ms() > deadline_ms:
                raise errors.ReplicaChangeError(
                    'the learner did not catch up in time'
                )
            self._clock.sleep_ms(SYNC_POLL_MS)

    def _promote(self, replica_id: str) -> None:
        members = self._configuration().members
        member = self._configuration().member(replica_id)
        if member is None:
            raise errors.ReplicaChangeError(
                'the learner was removed before its promotion'
            )
        if member.voter:
            return
        voter = messages.Member(
            replica_id, member.name, member.address, voter=True
        )
        self._commit([voter if m is member else m for m in members])

    def _remove_member(self, member: messages.Member) -> None:
        kept = [
            m
            for m in self._configuration().members
            if m.replica_id != member.replica_id
        ]
        if not any(m.voter for m in kept):
            raise errors.ReplicaChangeError('the last voter cannot be removed')
        self._commit(kept)

    def _commit(self, members: list[messages.Member]) -> None:
        configuration = messages.Configuration(members)
        self._replica.propose_configuration(configuration).result()
