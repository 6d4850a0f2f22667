"""What the entry daemon asks of the protocols of callers and endpoints."""

import enum
import typing

from masticquay_routing import fleets
from masticquay_serving import requests

Headers = list[tuple[str, str]]


class Call:
    """What a caller asks, in the product's terms.

    :param call_id: the caller's id of this request
    :param host: the name that the caller asked for, without port
    :param path: without query
    :param deadline_ms: how long the caller waits, None when unknown
    :param prompt_tokens: None when the caller declares no tokens
    :param limit_tokens: the most that the answer may have
    :param hint_tokens: the caller's estimate of the answer's length
    :param prompt_key: the same for each attempt at a model request, empty
        if unknown
    """

    __slots__ = (
        'call_id',
        'host',
        'path',
        'key',
        'deadline_ms',
        'prompt_tokens',
        'limit_tokens',
        'hint_tokens',
        'prompt_key',
    )

    def __init__(
        self,
        call_id: str,
        host: str,
        path: str,
        key: str | None,
        deadline_ms: int | None,
        prompt_tokens: int | None = None,
        limit_tokens: int | None = None,
        hint_tokens: int | None = None,
        prompt_key: str = '',
    ):
        self.call_id = call_id
        self.host = host
        self.path = path
        self.key = key
        self.deadline_ms = deadline_ms
        self.prompt_tokens = prompt_tokens
        self.limit_tokens = limit_tokens
        self.hint_tokens = hint_tokens
        self.prompt_key = prompt_key

    @property
    def tokens(self) -> int | None:
        """What the request counts for in a rate of tokens."""
        if self.prompt_tokens is None:
            return None
        return self.prompt_tokens + (self.limit_tokens or 0)


class Reason(enum.Enum):
    """Why a request gets no endpoint's answer."""

    NO_ROUTE = 'no route'
    NO_KEY = 'no valid key'
    OVER_RATE = 'over rate'
    NOT_RUN = 'not run'
    UNKNOWN = 'outcome unknown'
    TIMED_OUT = 'timed out'


class Refusal:
    """The end of a request without an endpoint's answer.

    :param detail: what decided it, for the log
    :param retry_after_ms: when the caller may come again, if it may
    """

    __slots__ = ('reason', 'detail', 'retry_after_ms')

    def __init__(
        self, reason: Reason, detail: str, retry_after_ms: int | None = None
    ):
        self.reason = reason
        self.detail = detail
        self.retry_after_ms = retry_after_ms


def join_refusals(earlier: Refusal | None, later: Refusal) -> Refusal:
    """Returns the end of a request after two failed sends.

    What an earlier send left unknown stays so: that a later one has not run
    the request says nothing of the first.
    """
    if earlier is None or earlier.reason is Reason.NOT_RUN:
        return later
    if later.reason in (Reason.NOT_RUN, Reason.OVER_RATE):
        return earlier
    return later


class RefusalAnswer:
    """A refusal in the caller's protocol."""

    __slots__ = ('status', 'headers', 'body')

    def __init__(self, status: int, headers: Headers, body: bytes):
        self.status = status
        self.headers = headers
        self.body = body


class CallerProtocol(typing.Protocol):
    """The protocol of callers."""

    def read(self, request: requests.Request) -> Call:
        """Reads a request.

        :raises BadRequestError: when it cannot be served
        """

    def refuse(self, call: Call, refusal: Refusal) -> RefusalAnswer:
        """Returns the answer that tells a caller of a refusal."""


class Terms:
    """What an endpoint is told beside the caller's own headers.

    :param workspace: None on open routes of a table without workspaces
    :param deadline_ms: how much time is left
    :param last_event_id: where a broken stream goes on
    """

    __slots__ = ('workspace', 'deadline_ms', 'last_event_id')

    def __init__(
        self,
        workspace: str | None,
        deadline_ms: int,
        last_event_id: str | None = None,
    ):
        self.workspace = workspace
        self.deadline_ms = deadline_ms
        self.last_event_id = last_event_id


class AnswerHead:
    """The head of an endpoint's answer.

    :param ran: False when the endpoint says that it did not run the request
    :param genuine: whether it answers this very request and is signed as
        the protocol asks
    :param load: requests that run and wait there, None if not told
    :param headers: those that the caller gets
    """

    __slots__ = ('status', 'ran', 'genuine', 'load', 'headers')

    def __init__(
        self,
        status: int,
        ran: bool,
        genuine: bool,
        load: int | None,
        headers: Headers,
    ):
        self.status = status
        self.ran = ran
        self.genuine = genuine
        self.load = load
        self.headers = headers


class EndpointProtocol(typing.Protocol):
    """The protocol of endpoints; requests keep method, target and body."""

    def run_headers(
        self, headers: Headers, endpoint: fleets.Endpoint, terms: Terms
    ) -> Headers:
        """Returns the headers of a request to run.

        :param headers: the caller's
        """

    def prefill_headers(
        self, headers: Headers, endpoint: fleets.Endpoint, terms: Terms
    ) -> Headers:
        """Returns the headers of a request only to read the prompt."""

    def decode_headers(
        self,
        headers: Headers,
        endpoint: fleets.Endpoint,
        terms: Terms,
        source: fleets.Endpoint,
        handle: str,
    ) -> Headers:
        """Returns the headers to go on from a prompt read elsewhere."""

    def read_head(
        self, call: Call, status: int, headers: Headers
    ) -> AnswerHead:
        """Reads the head of an answer."""

    def read_handle(self, body: bytes) -> str:
        """Reads the answer to a prefill.

        :raises ProtocolError: when it names no handle
        """

    def release_target(self, handle: str) -> str:
        """Returns the path at which a handle is freed by DELETE."""
