"""What the libraries above need of membership."""

import typing

from masticquay_bundles import models
from masticquay_membership import intent_messages
from masticquay_membership import messages
from masticquay_membership import usage_messages

StateListener = typing.Callable[['HostState', 'HostState'], None]


class HostState:
    """What a host has applied: an immutable picture, replaced as a whole.

    :param bundle: None until the first bundle arrived
    :param withdrawn: digests of all withdrawn keys
    :param leaving_endpoints: endpoints that must get no new work
    """

    __slots__ = (
        'applied_index',
        'bundle',
        'bundle_index',
        'withdrawn',
        'view',
        'adopted_view_number',
        'leaving_endpoints',
    )

    def __init__(
        self,
        applied_index: int,
        bundle: models.Bundle | None,
        bundle_index: int,
        withdrawn: frozenset[str],
        view: messages.View,
        adopted_view_number: int,
        leaving_endpoints: frozenset[str] = frozenset(),
    ):
        self.applied_index = applied_index
        self.bundle = bundle
        self.bundle_index = bundle_index
        self.withdrawn = withdrawn
        self.view = view
        self.adopted_view_number = adopted_view_number
        self.leaving_endpoints = leaving_endpoints


class Membership(typing.Protocol):
    """A host's part in the fleet: its lease, and the state it applied."""

    @property
    def host(self) -> messages.Host:
        """This host, as others see it."""

    def state(self) -> HostState:
        """Returns the newest applied state."""

    def lease_valid(self) -> bool:
        """Whether this host may serve keyed work and act as an owner."""

    def add_listener(self, listener: StateListener) -> None:
        """Calls the listener with the old and the new state.

        The change counts as applied only after every listener returned, so
        a listener must be quick and must not wait for the network.
        """

    def begin_intent(
        self, intent: intent_messages.BeginIntent, timeout_ms: int
    ) -> intent_messages.IntentState:
        """Commits an intent.

        :raises MembershipError: when it may or may not have been committed;
            the caller must not send the call
        """

    def finish_intent(
        self, finish: intent_messages.FinishIntent, timeout_ms: int
    ) -> None:
        """Commits the outcome of a call.

        :raises MembershipError: when it may not have been committed
        """

    def report_usage(
        self, report: usage_messages.ReportUsage, timeout_ms: int
    ) -> None:
        """Commits a usage batch; the same sequence may be sent again.

        :raises MembershipError: when it may not have been committed
        """

    def leave(self) -> None:
        """Marks this host as leaving in the next view."""

    def close(self) -> None:
        """Ends the session; the lease is given up at once."""
