"""A replica's answers to the voters that form a new group."""

import random
import threading

from masticquay_consensus import errors
from masticquay_consensus import log_writers
from masticquay_consensus import messages
from masticquay_consensus import replicas
from masticquay_consensus import stores
from masticquay_wire import errors as wire_errors

CODE_OLD_CLAIM = 'old-claim'
CLAIM_BITS = 62


class Voter:
    """A replica that the settings list as a voter of a new group.

    :param address: ``ip:port``
    """

    __slots__ = ('name', 'address')

    def __init__(self, name: str, address: str):
        self.name = name
        self.address = address


def keep_voters(store: stores.Store, voters: list[Voter]) -> list[Voter]:
    """Returns the voters of a new group, also after a restart.

    :param voters: as set when the whole system starts for the first time,
        else empty
    """
    if store.formed:
        return voters
    if voters:
        store.save_founding([[v.name, v.address] for v in voters])
        return voters
    return [Voter(name, address) for name, address in store.read_founding()]


class Founder:
    """Tells who this replica is, and takes the configuration of a new group.

    It takes one only from the voter that claimed it last, so that none of an
    earlier claim arrives late.

    :param voters: empty if this replica may not form a group
    """

    __slots__ = ('voters', '_replica', '_name', '_lock', '_claim')

    def __init__(
        self, replica: replicas.Replica, name: str, voters: list[Voter]
    ):
        self.voters = voters
        self._replica = replica
        self._name = name
        self._lock = threading.Lock()
        self._claim = 0

    def identify(self, message: messages.Identify) -> messages.Identity:
        """Answers a request for this replica's identity."""
        with self._lock:
            if not message.claims:
                return self._identity(0)
            self._claim = random.getrandbits(CLAIM_BITS) + 1
            return self._identity(self._claim)

    def form_group(self, message: messages.FormGroup) -> messages.Identity:
        """Becomes a member of a new group, unless it is one of a group.

        :raises RemoteError: if the request is for another identity or of an
            earlier claim, or if the disk is full
        :raises StorageError: if it cannot be stored
        """
        if message.to_id != self._replica.state.replica_id:
            raise wire_errors.RemoteError(
                replicas.CODE_WRONG_IDENTITY, 'the disk was replaced'
            )
        with self._lock:
            if message.claim != self._claim:
                raise wire_errors.RemoteError(
                    CODE_OLD_CLAIM, 'claimed again since'
                )
            try:
                self._replica.join_group(message.configuration)
            except errors.NoRoomError as cause:
                raise wire_errors.RemoteError(
                    log_writers.CODE_NO_ROOM, str(cause)
                ) from cause
            return self._identity(0)

    def _identity(self, claim: int) -> messages.Identity:
        state = self._replica.state
        with state.lock:
            return messages.Identity(
                state.replica_id,
                self._name,
                state.configuration if state.store.formed else None,
                bool(self.voters),
                claim,
            )
