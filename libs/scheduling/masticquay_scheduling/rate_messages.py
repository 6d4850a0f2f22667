"""Messages between entry hosts and the owners of workspaces' rates."""

from masticquay_wire import messages
from masticquay_wire import records


@messages.register
class RequestGrant(messages.Message):
    """Reports the use of a host's grant, and asks for more.

    A host sends the next sequence only when it got the answer to the one
    before or will ignore that answer, so all that it may spend is in
    ``held_tokens``. Totals count from when the host turned to this owner.

    :param view_number: the view by which the host chose the owner
    :param sequence: rises with each request of this host for the workspace
    :param spent_total_tokens: spent in all
    :param refunded_total_tokens: given back in all by ended requests
    :param held_tokens: what the host still holds unspent
    :param needed_tokens: the least that is of use, 0 to only report
    :param wanted_tokens: how much it would like, at least the needed
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
    """Tokens that a host may spend for a workspace.

    :param valid_ms: how long, from when the request was sent
    :param retry_after_ms: when tokens needed but not granted will be there
    :param scarce: what the host does not need now it should give back
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
    """What an owner knows of one host's grant.

    :param expires_in_ms: when the host can spend it no longer
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
    """Moves a workspace's rate state from its old owner to the new one."""

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
