"""The membership interface that other libraries depend on."""

import typing

from masticquay_bundles import models
from masticquay_membership import intent_messages
from masticquay_membership import messages
from masticquay_membership import usage_messages

StateListener = typing.Callable[['HostState', 'HostState'], None]


class HostState:
    """The state that a host has applied; immutable, replaced as a whole.

    :param bundle: the bundle in force, None until the first one arrives
    :param bundle_index: the log index of that bundle
    :param withdrawn_key_digests: digests of all withdrawn keys
    :param view: the newest view that this host has applied
    :param adopted_view_number: the newest view that every live host is known
        to have adopted
    :param leaving_endpoints: names of endpoints that must get no new work
    """

    __slots__ = (
        'applied_index',
        'bundle',
        'bundle_index',
        'withdrawn_key_digests',
        'view',
        'adopted_view_number',
        'leaving_endpoints',
    )

    def __init__(
        self,
        applied_index: int,
        bundle: models.Bundle | None,
        bundle_index: int,
        withdrawn_key_digests: frozenset[str],
        view: messages.View,
        adopted_view_number: int,
        leaving_endpoints: frozenset[str] = frozenset(),
    ):
        self.applied_index = applied_index
        self.bundle = bundle
        self.bundle_index = bundle_index
        self.withdrawn_key_digests = withdrawn_key_digests
        self.view = view
        self.adopted_view_number = adopted_view_number
        self.leaving_endpoints = leaving_endpoints


class Membership(typing.Protocol):
    """A host's session lease and its replicated state."""

    @property
    def host(self) -> messages.Host:
        """This host, as it is listed in a view."""

    def state(self) -> HostState:
        """Returns the state after the last applied update."""

    def lease_valid(self) -> bool:
        """Whether this host may serve keyed requests and act as an owner."""

    def add_listener(self, listener: StateListener) -> None:
        """Registers a callback that receives the old and the new state.

        A change is acknowledged only after every listener has returned, so
        a listener must be fast and must not wait for the network.
        """

    def begin_intent(
        self, intent: intent_messages.BeginIntent, timeout_ms: int
    ) -> intent_messages.IntentState:
        """Records the intent to make a non-idempotent call.

        :returns: the state of the call; only ``begun`` allows sending it
        :raises RefusedError: when control refused the intent
        :raises MembershipError: when it is unknown whether the intent was
            committed; the caller must not send the call
        """

    def finish_intent(
        self, finish: intent_messages.FinishIntent, timeout_ms: int
    ) -> None:
        """Records the outcome of a non-idempotent call.

        :raises RefusedError: when control refused the outcome
        :raises MembershipError: when it is unknown whether the outcome was
            committed
        """

    def report_usage(
        self, report: usage_messages.ReportUsage, timeout_ms: int
    ) -> None:
        """Reports a batch of usage; a batch sent again is counted once.

        :raises RefusedError: when control refused the batch
        :raises MembershipError: when it is unknown whether the batch was
            committed
        """

    def mark_leaving(self) -> None:
        """Asks control to mark this host as leaving in the next view."""

    def close(self) -> None:
        """Ends the session and releases the lease at once."""
