"""The registry of accepted bundles and withdrawn keys."""

import collections

from masticquay_bundles import errors as bundle_errors
from masticquay_bundles import models
from masticquay_bundles import signatures
from masticquay_membership import messages as membership_messages
from masticquay_membership import operator_messages
from masticquay_wire import messages
from masticquay_wire import records

# Only a resend of one of these is recognized; others count as conflicts.
MAX_ACCEPTED_BUNDLES = 1_000


class AcceptedBundle(records.Record):
    """The version, digest and log index of an accepted bundle."""

    __slots__ = ('version', 'digest', 'index')

    def __init__(self, version: int, digest: bytes, index: int):
        self.version = version
        self.digest = digest
        self.index = index


class BundleSnapshot(records.Record):
    """The contents of the registry.

    :param authorities: the first bundle, and each later one that changed the
        approvers or how many of them must sign
    """

    __slots__ = ('current', 'authorities', 'accepted', 'withdrawals')

    def __init__(
        self,
        current: membership_messages.BundleChange | None,
        authorities: list[membership_messages.BundleChange],
        accepted: list[AcceptedBundle],
        withdrawals: list[membership_messages.WithdrawalChange],
    ):
        self.current = current
        self.authorities = authorities
        self.accepted = accepted
        self.withdrawals = withdrawals


class BundleRegistry:
    """Accepts bundles by compare-and-set, and withdraws keys permanently."""

    def __init__(self) -> None:
        self.current: membership_messages.BundleChange | None = None
        self.digest = b''
        self._authorities: list[membership_messages.BundleChange] = []
        self._accepted: collections.OrderedDict[int, AcceptedBundle] = (
            collections.OrderedDict()
        )
        self._withdrawals: dict[str, membership_messages.WithdrawalChange] = {}

    @property
    def version(self) -> int:
        """The version of the current bundle, 0 before the first."""
        return self.current.signed.bundle.version if self.current else 0

    @property
    def bundle(self) -> models.Bundle | None:
        """The current bundle, None before the first."""
        return self.current.signed.bundle if self.current else None

    @property
    def withdrawn_count(self) -> int:
        """The number of withdrawn keys."""
        return len(self._withdrawals)

    def roll(
        self, index: int, command: operator_messages.RollBundle
    ) -> messages.Message:
        """Accepts or refuses a bundle.

        :returns: CommandAccepted, for a resend with the index at which the
            bundle was accepted; or a Failure: ``conflict`` if the bundle does
            not follow the current one, ``unapproved`` if too few approvers of
            the current one signed it
        """
        bundle = command.signed.bundle
        digest = signatures.digest_bundle(bundle)
        known = self._accepted.get(bundle.version)
        if known is not None and known.digest == digest:
            return operator_messages.CommandAccepted(known.index, True)
        if known is not None or bundle.version <= self.version:
            accepted = known or self._current_as_accepted()
            return _conflict_failure(accepted.version, accepted.digest)
        expected = (command.expected_version, command.expected_digest)
        if expected != (self.version, self.digest):
            return _conflict_failure(self.version, self.digest)
        try:
            signatures.check_signatures(command.signed, self.bundle)
        except bundle_errors.SignatureError as cause:
            return messages.Failure(
                membership_messages.CODE_UNAPPROVED, str(cause)
            )
        self._accept(index, command.signed, digest)
        return operator_messages.CommandAccepted(index, False)

    def withdraw(
        self, index: int, command: operator_messages.WithdrawKey
    ) -> messages.Message:
        """Withdraws a key permanently.

        :returns: CommandAccepted, for a resend with the index of the first
            withdrawal; or a Failure ``unknown-key`` if the current bundle does
            not list the key
        """
        known = self._withdrawals.get(command.key_digest)
        if known is not None:
            return operator_messages.CommandAccepted(known.index, True)
        listed = self.bundle is not None and any(
            key.digest == command.key_digest for key in self.bundle.keys
        )
        if not listed:
            return messages.Failure(
                membership_messages.CODE_UNKNOWN_KEY,
                'the current bundle does not list this key',
            )
        self._withdrawals[command.key_digest] = (
            membership_messages.WithdrawalChange(index, command.key_digest)
        )
        return operator_messages.CommandAccepted(index, False)

    def bundles_after(
        self, index: int
    ) -> list[membership_messages.BundleChange]:
        """Returns the bundles that a host at an index needs.

        These are the current bundle and, before it, the bundles whose
        approvers the host must know to verify its signatures.
        """
        if self.current is None or self.current.index <= index:
            return []
        chain = [
            change
            for change in self._authorities
            if index < change.index < self.current.index
        ]
        return [*chain, self.current]

    def withdrawals_after(
        self, index: int
    ) -> list[membership_messages.WithdrawalChange]:
        """Returns the withdrawals after a log index."""
        found = []
        for change in reversed(self._withdrawals.values()):
            if change.index <= index:
                break
            found.append(change)
        found.reverse()
        return found

    def take_snapshot(self) -> BundleSnapshot:
        """Returns the contents of the registry."""
        return BundleSnapshot(
            self.current,
            list(self._authorities),
            list(self._accepted.values()),
            list(self._withdrawals.values()),
        )

    def restore(self, snapshot: BundleSnapshot) -> None:
        """Replaces the contents of the registry."""
        self.current = snapshot.current
        self.digest = b''
        if snapshot.current is not None:
            self.digest = signatures.digest_bundle(
                snapshot.current.signed.bundle
            )
        self._authorities = list(snapshot.authorities)
        self._accepted = collections.OrderedDict(
            (entry.version, entry) for entry in snapshot.accepted
        )
        self._withdrawals = {
            change.key_digest: change for change in snapshot.withdrawals
        }

    def _current_as_accepted(self) -> AcceptedBundle:
        return AcceptedBundle(self.version, self.digest, 0)

    def _accept(
        self, index: int, signed: models.SignedBundle, digest: bytes
    ) -> None:
        change = membership_messages.BundleChange(index, signed)
        if not _same_approvers(self.bundle, signed.bundle):
            self._authorities.append(change)
        self.current = change
        self.digest = digest
        version = signed.bundle.version
        self._accepted[version] = AcceptedBundle(version, digest, index)
        while len(self._accepted) > MAX_ACCEPTED_BUNDLES:
            self._accepted.popitem(last=False)


def _same_approvers(old: models.Bundle | None, new: models.Bundle) -> bool:
    return (
        old is not None
        and old.approvals_required == new.approvals_required
        and old.approvers == new.approvers
    )


def _conflict_failure(version: int, digest: bytes) -> messages.Failure:
    return messages.Failure(
        membership_messages.CODE_CONFLICT,
        f'version {version} with digest {digest.hex()} is in force',
    )
