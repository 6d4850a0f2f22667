"""The replicated state of a host, built from updates pushed by control."""

import logging
import threading

from masticquay_bundles import errors as bundle_errors
from masticquay_bundles import models
from masticquay_bundles import signatures
from masticquay_membership import messages as membership_messages
from masticquay_membership import protocols

LOG = logging.getLogger(__name__)


def empty_state() -> protocols.HostState:
    """Returns the state of a host that has received no update."""
    return protocols.HostState(
        0, None, 0, frozenset(), membership_messages.View(0, []), 0
    )


class StateHolder:
    """Holds the host's state and applies updates to it in index order.

    An update that ends at or before the applied index is ignored; one that
    starts after it is refused, because changes between them are missing.
    """

    def __init__(self) -> None:
        self._state = empty_state()
        self._lock = threading.Lock()
        self._listeners: list[protocols.StateListener] = []
        self.applied_count = 0
        self.refused_count = 0

    @property
    def state(self) -> protocols.HostState:
        """The state after the last applied update."""
        return self._state

    def add_listener(self, listener: protocols.StateListener) -> None:
        """Registers a callback that receives the old and the new state."""
        self._listeners.append(listener)

    def apply(self, update: membership_messages.StateUpdate) -> bool:
        """Applies an update.

        :returns: whether the state includes the update's changes; if not,
            the host must subscribe again from its applied index
        """
        with self._lock:
            old = self._state
            if update.to_index <= old.applied_index:
                return True
            if update.from_index > old.applied_index:
                return False
            try:
                new = _apply_update(old, update)
            except bundle_errors.SignatureError as cause:
                self.refused_count += 1
                LOG.error(
                    'bundle rejected: signature check failed',
                    extra={'cause': str(cause)},
                )
                return False
            self._set_state(old, new)
            self.applied_count += 1
            return True

    def set_adopted_view_number(self, adopted_view_number: int) -> None:
        """Sets the newest view number that all live hosts have adopted.

        A number that is not higher than the present one is ignored.
        """
        with self._lock:
            old = self._state
            if adopted_view_number <= old.adopted_view_number:
                return
            new = protocols.HostState(
                old.applied_index,
                old.bundle,
                old.bundle_index,
                old.withdrawn_key_digests,
                old.view,
                adopted_view_number,
                old.leaving_endpoints,
            )
            self._set_state(old, new)

    def _set_state(
        self, old: protocols.HostState, new: protocols.HostState
    ) -> None:
        self._state = new
        for listener in list(self._listeners):
            try:
                listener(old, new)
            except Exception:
                LOG.exception('state listener raised an exception')


def _apply_update(
    old: protocols.HostState, update: membership_messages.StateUpdate
) -> protocols.HostState:
    bundle, bundle_index = _newest_bundle(old, update)
    withdrawn_key_digests = old.withdrawn_key_digests.union(
        change.key_digest for change in update.withdrawals
    )
    view = old.view
    for change in update.views:
        if change.view.number > view.number:
            view = change.view
    leaving = old.leaving_endpoints
    for change in update.endpoints:
        leaving = frozenset(change.leaving)
    return protocols.HostState(
        update.to_index,
        bundle,
        bundle_index,
        withdrawn_key_digests,
        view,
        old.adopted_view_number,
        leaving,
    )


def _newest_bundle(
    old: protocols.HostState, update: membership_messages.StateUpdate
) -> tuple[models.Bundle | None, int]:
    """Returns the newest bundle and its index.

    :raises SignatureError: when a bundle is not signed by enough approvers of
        the bundle before it
    """
    bundle, index = old.bundle, old.bundle_index
    for change in update.bundles:
        if change.index > index:
            signatures.check_signatures(change.signed, bundle)
            bundle, index = change.signed.bundle, change.index
    return bundle, index
