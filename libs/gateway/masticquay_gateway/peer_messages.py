"""Messages of an exchange with an endpoint by way of another entry host."""

import enum

from masticquay_wire import messages


class FailureKind(enum.Enum):
    """Why an exchange by way of a peer failed, as the peer saw it."""

    # The peer takes no exchange, or none with this endpoint; nothing was sent.
    NOT_TAKEN = 'not taken'
    # The endpoint accepts no connection of the peer; nothing was sent.
    NOT_SENT = 'not sent'
    # The endpoint may have got the request: it sent nothing, or not all in
    # time, or broke off, or broke off and takes no connections any more.
    STALLED = 'stalled'
    UNFINISHED = 'unfinished'
    BROKEN = 'broken off'
    ENDED = 'ended'
    # The peer lost its own path meanwhile; the endpoint may have got it.
    PATH_LOST = 'path lost'


@messages.register
class PeerRequest(messages.Message):
    """A request that the receiving host is to send to an endpoint itself.

    :param started_ms: start of the endpoint's process that is meant
    :param call_id: id of the caller's request, empty for none
    :param headers: all headers to send
    :param body: empty if it was announced and came before
    :param timeout_ms: time until the head of the answer
    :param lasts_ms: time until the end of the answer
    :param needs_stamp: see ``answers.judge``
    """

    __slots__ = (
        'endpoint_id',
        'started_ms',
        'call_id',
        'method',
        'path',
        'headers',
        'body',
        'timeout_ms',
        'lasts_ms',
        'needs_stamp',
    )

    def __init__(
        self,
        endpoint_id: str,
        started_ms: int,
        call_id: str,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        timeout_ms: int,
        lasts_ms: int,
        needs_stamp: bool,
    ):
        self.endpoint_id = endpoint_id
        self.started_ms = started_ms
        self.call_id = call_id
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.timeout_ms = timeout_ms
        self.lasts_ms = lasts_ms
        self.needs_stamp = needs_stamp


@messages.register
class PeerBody(messages.Message):
    """Announces the body of a request, which follows in pieces before it.

    The receiving host answers with ``PeerBodyGranted`` or ``PeerFailure``.
    """

    __slots__ = ('size_bytes',)

    def __init__(self, size_bytes: int):
        self.size_bytes = size_bytes


@messages.register
class PeerBodyGranted(messages.Message):
    """The receiving host has the memory for a body that was announced."""

    __slots__ = ()


@messages.register
class PeerHead(messages.Message):
    """Status and headers of the endpoint's answer."""

    __slots__ = ('status', 'headers')

    def __init__(self, status: int, headers: list[tuple[str, str]]):
        self.status = status
        self.headers = headers


@messages.register
class PeerData(messages.Message):
    """A piece of the body of the endpoint's answer, or of a request.

    :param is_last: whether the body is whole with it
    """

    __slots__ = ('data', 'is_last')

    def __init__(self, data: bytes, is_last: bool):
        self.data = data
        self.is_last = is_last


@messages.register
class PeerFailure(messages.Message):
    """The exchange failed; nothing more of it follows.

    :param kind: value of a ``FailureKind``
    """

    __slots__ = ('kind', 'detail')

    def __init__(self, kind: str, detail: str):
        self.kind = kind
        self.detail = detail
