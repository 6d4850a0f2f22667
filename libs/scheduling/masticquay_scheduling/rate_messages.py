"""Messages between entry hosts and the owners of rate limiters."""

from masticquay_wire import messages
from masticquay_wire import records


@messages.register
class RequestGrant(messages.Message):
    """Reports how much of its grant a host spent, and asks for more.

    A host sends its next request only when it has the answer to the one
    before or will ignore that answer, so ``held_tokens`` is all that it may
    still spend. Totals count from when the host switched to this owner.

    :param view_number: the view from which the host computed the owner
    :param sequence: increases with each request of the host and workspace
    :param spent_total_tokens: total spent so far
    :param refunded_total_tokens: total charged but not used by requests
    :param held_tokens: what the host still holds unspent
    :param needed_tokens: the smallest useful grant, 0 to only report
    :param wanted_tokens: the preferred grant, at least ``needed_tokens``
    """

    __slots__ = (
        'workspace',
        'host',
        'incarnation',
        'view_number',
        'sequence',
        'spent_total_tokens',
        'refunded_total_tokens',
        'held_tokens',
        'needed_tokens',
        'wanted_tokens',
    )

    def __init__(
        self,
        workspace: str,
        host: str,
        incarnation: int,
        view_number: int,
        sequence: int,
        spent_total_tokens: int,
        refunded_total_tokens: int,
        held_tokens: int,
        needed_tokens: int,
        wanted_tokens: int,
    ):
        self.workspace = workspace
        self.host = host
        self.incarnation = incarnation
        self.view_number = view_number
        self.sequence = sequence
        self.spent_total_tokens = spent_total_tokens
        self.refunded_total_tokens = refunded_total_tokens
        self.held_tokens = held_tokens
        self.needed_tokens = needed_tokens
        self.wanted_tokens = wanted_tokens


@messages.register
class Grant(messages.Message):
    """Grants tokens that a host may spend for a workspace.

    :param valid_ms: how long it is valid after the host sent its request
    :param retry_after_ms: time until the needed tokens may be available, when
        none were granted; 0 for never
    :param scarce: the host should give back tokens that it does not need now
    """

    __slots__ = (
        'sequence',
        'granted_tokens',
        'valid_ms',
        'retry_after_ms',
        'scarce',
    )

    def __init__(
        self,
        sequence: int,
        granted_tokens: int,
        valid_ms: int,
        retry_after_ms: int,
        scarce: bool = False,
    ):
        self.sequence = sequence
        self.granted_tokens = granted_tokens
        self.valid_ms = valid_ms
        self.retry_after_ms = retry_after_ms
        self.scarce = scarce


class HeldGrant(records.Record):
    """One host's grant, as the owner knows it.

    :param expires_in_ms: time until the host can no longer spend it
    """

    __slots__ = ('host', 'incarnation', 'tokens', 'expires_in_ms')

    def __init__(
        self, host: str, incarnation: int, tokens: int, expires_in_ms: int
    ):
        self.host = host
        self.incarnation = incarnation
        self.tokens = tokens
        self.expires_in_ms = expires_in_ms


@messages.register
class HandOverRate(messages.Message):
    """Moves a workspace's rate limiter state to its new owner.

    :param level_tokens: tokens left in the bucket
    """

    __slots__ = ('workspace', 'view_number', 'level_tokens', 'grants')

    def __init__(
        self,
        workspace: str,
        view_number: int,
        level_tokens: int,
        grants: list[HeldGrant],
    ):
        self.workspace = workspace
        self.view_number = view_number
        self.level_tokens = level_tokens
        self.grants = grants
