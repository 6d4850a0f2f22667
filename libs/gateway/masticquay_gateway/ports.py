"""Interfaces to the protocols of callers and endpoints."""

import enum
import typing

from masticquay_routing import fleets
from masticquay_routing import server_loads
from masticquay_serving import requests

Headers = list[tuple[str, str]]

# Last event id of a caller that has no event yet.
NO_EVENT_ID = '0'


class Call:
    """The protocol-independent content of a caller's request.

    :param call_id: request id that the caller chose
    :param host: requested host name, without the port
    :param path: request path, without the query
    :param api_key: None if the request has none
    :param deadline_ms: how long the caller waits, None if unknown
    :param prompt_tokens: None if the caller declares no token counts
    :param max_output_tokens: maximum length of the output
    :param expected_output_tokens: the caller's estimate of the output's length
    :param prompt_key: identifies a prompt across the caller's attempts, empty
        if unknown
    :param prompt_parts: ids of the parts of the prompt that other prompts may
        share, in order
    :param last_event_id: id of the last event that the caller has of a stream
        that it resumes, empty for a new request
    :param first_call_id: request id under which the caller got the first event
        of that stream, empty if it names none
    """

    __slots__ = (
        'call_id',
        'host',
        'path',
        'api_key',
        'deadline_ms',
        'prompt_tokens',
        'max_output_tokens',
        'expected_output_tokens',
        'prompt_key',
        'prompt_parts',
        'last_event_id',
        'first_call_id',
    )

    def __init__(
        self,
        call_id: str,
        host: str,
        path: str,
        api_key: str | None,
        deadline_ms: int | None,
        prompt_tokens: int | None = None,
        max_output_tokens: int | None = None,
        expected_output_tokens: int | None = None,
        prompt_key: str = '',
        prompt_parts: list[str] | None = None,
        last_event_id: str = '',
        first_call_id: str = '',
    ):
        self.call_id = call_id
        self.host = host
        self.path = path
        self.api_key = api_key
        self.deadline_ms = deadline_ms
        self.prompt_tokens = prompt_tokens
        self.max_output_tokens = max_output_tokens
        self.expected_output_tokens = expected_output_tokens
        self.prompt_key = prompt_key
        self.prompt_parts = prompt_parts or []
        self.last_event_id = last_event_id
        self.first_call_id = first_call_id

    @property
    def resumes_stream(self) -> bool:
        """Whether the caller already has a part of the stream."""
        return self.last_event_id not in ('', NO_EVENT_ID)

    @property
    def tokens(self) -> int | None:
        """Tokens charged against a token rate, None if not declared."""
        if self.prompt_tokens is None:
            return None
        return self.prompt_tokens + (self.max_output_tokens or 0)


class Reason(enum.Enum):
    """Why a caller gets a refusal instead of an endpoint's response.

    With ``UNKNOWN`` and ``TIMED_OUT``, an endpoint may have run the request;
    with the others, none has.
    """

    NO_ROUTE = 'no route'
    NO_KEY = 'no valid key'
    OVER_RATE = 'over rate'
    NOT_RUN = 'not run'
    UNKNOWN = 'outcome unknown'
    TIMED_OUT = 'timed out'

    @property
    def promises_not_run(self) -> bool:
        """Whether it tells the caller that the request will not run."""
        return self in (Reason.OVER_RATE, Reason.NOT_RUN)


class Refusal:
    """The outcome of a request for which there is no endpoint's response.

    :param detail: explanation, for the log only
    :param retry_after_ms: time after which the caller may retry, None for no
        such advice
    :param by_endpoint: whether an endpoint refused it, not this host
    """

    __slots__ = ('reason', 'detail', 'retry_after_ms', 'by_endpoint')

    def __init__(
        self,
        reason: Reason,
        detail: str,
        retry_after_ms: int | None = None,
        by_endpoint: bool = False,
    ):
        self.reason = reason
        self.detail = detail
        self.retry_after_ms = retry_after_ms
        self.by_endpoint = by_endpoint


def join_refusals(earlier: Refusal | None, later: Refusal) -> Refusal:
    """Combines the refusals of two attempts at one request.

    If the outcome of the earlier attempt is unknown, it stays unknown: that
    the later attempt did not run says nothing about the earlier one.
    """
    if earlier is None or earlier.reason is Reason.NOT_RUN:
        return later
    if later.reason in (Reason.NOT_RUN, Reason.OVER_RATE):
        return earlier
    return later


class RefusalResponse:
    """The HTTP response that reports a refusal to the caller."""

    __slots__ = ('status', 'headers', 'body')

    def __init__(self, status: int, headers: Headers, body: bytes):
        self.status = status
        self.headers = headers
        self.body = body


class CallerProtocol(typing.Protocol):
    """The protocol of callers."""

    def read(self, request: requests.Request) -> Call:
        """Parses a request.

        :raises BadRequestError: if the request is malformed
        """

    def refusal_response(
        self, call: Call, refusal: Refusal
    ) -> RefusalResponse:
        """Returns the response that tells the caller of a refusal."""


class RequestContext:
    """Request context sent to an endpoint besides the caller's headers.

    :param workspace: name of the workspace, None for a request without one
    :param deadline_ms: time left for the response
    :param last_event_id: id of the last event received of a stream that is to
        be resumed, None for a new one
    :param priority: tells a model engine how urgent the request is, 0 is the
        most urgent; None to tell nothing
    """

    __slots__ = ('workspace', 'deadline_ms', 'last_event_id', 'priority')

    def __init__(
        self,
        workspace: str | None,
        deadline_ms: int,
        last_event_id: str | None = None,
        priority: int | None = None,
    ):
        self.workspace = workspace
        self.deadline_ms = deadline_ms
        self.last_event_id = last_event_id
        self.priority = priority


class ExchangePurpose:
    """What an exchange with an endpoint is for.

    :param call_id: id of the caller's request, empty for none
    :param needs_stamp: whether an endpoint stamps its answer when it has run
        such a request
    :param lasts_ms: time until the end of the answer, 0 for that of its head
    :param allows_place: whether it may go through a peer in a place
    """

    __slots__ = ('call_id', 'needs_stamp', 'lasts_ms', 'allows_place')

    def __init__(
        self,
        call_id: str,
        needs_stamp: bool = True,
        lasts_ms: int = 0,
        allows_place: typing.Callable[[str], bool] = lambda place: True,
    ):
        self.allows_place = allows_place
        self.call_id = call_id
        self.needs_stamp = needs_stamp
        self.lasts_ms = lasts_ms


class NotRunMark:
    """An endpoint's mark on the answer to a request that it did not run.

    :param text: its value on the wire, for the log
    :param is_clear: whether that value says so, too
    """

    __slots__ = ('text', 'is_clear')

    def __init__(self, text: str, is_clear: bool = True):
        self.text = text
        self.is_clear = is_clear


class ResponseHead:
    """What the status and headers of an endpoint's answer say.

    It is to be believed only after ``answers.judge``, which takes the head
    to be whole.

    :param answered_ids: the different ids of requests that it answers
    :param not_run_mark: None without one
    :param has_stamp: whether it has the stamp of an endpoint that ran the
        request
    :param load: the endpoint's load, None if not reported
    :param headers: headers to pass on to the caller
    :param has_unclear_stamp: whether a stamp is empty, or several differ
    """

    __slots__ = (
        'status',
        'answered_ids',
        'not_run_mark',
        'has_stamp',
        'has_unclear_stamp',
        'load',
        'headers',
    )

    def __init__(
        self,
        status: int,
        answered_ids: frozenset[str],
        not_run_mark: NotRunMark | None,
        has_stamp: bool,
        load: server_loads.ServerLoad | None,
        headers: Headers,
        has_unclear_stamp: bool = False,
    ):
        self.status = status
        self.answered_ids = answered_ids
        self.not_run_mark = not_run_mark
        self.has_stamp = has_stamp
        self.has_unclear_stamp = has_unclear_stamp
        self.load = load
        self.headers = headers


class EndpointNotice:
    """What an endpoint says of itself in an answer.

    :param is_leaving: whether it leaves and should get no new requests
    :param pause_ms: how long it wants no requests from this host, 0 for no
        pause
    :param limit_per_s: how many requests a second it takes from all hosts
        together, None if it names no limit
    """

    __slots__ = ('is_leaving', 'pause_ms', 'limit_per_s')

    def __init__(
        self,
        is_leaving: bool = False,
        pause_ms: int = 0,
        limit_per_s: float | None = None,
    ):
        self.is_leaving = is_leaving
        self.pause_ms = pause_ms
        self.limit_per_s = limit_per_s


class EndpointProtocol(typing.Protocol):
    """The protocol of endpoints.

    Requests are forwarded with the caller's method, target and body.
    """

    def run_headers(
        self,
        headers: Headers,
        endpoint: fleets.Endpoint,
        context: RequestContext,
    ) -> Headers:
        """Returns the headers of a request that one endpoint runs completely.

        :param headers: the caller's headers
        """

    def prefill_headers(
        self,
        headers: Headers,
        endpoint: fleets.Endpoint,
        context: RequestContext,
    ) -> Headers:
        """Returns the headers of a request for prefill only."""

    def decode_headers(
        self,
        headers: Headers,
        endpoint: fleets.Endpoint,
        context: RequestContext,
        source: fleets.Endpoint,
        handle: str,
    ) -> Headers:
        """Returns the headers of a request to decode after a prefill.

        :param source: the prefill engine
        :param handle: the handle that it returned
        """

    def parse_response_head(
        self, status: int, headers: Headers
    ) -> ResponseHead:
        """Parses the status and headers of a response."""

    def parse_notice(self, status: int, headers: Headers) -> EndpointNotice:
        """Parses what an endpoint says of itself in any answer."""

    def read_handle(self, body: bytes) -> str:
        """Parses the response to a prefill and returns the handle.

        :raises ProtocolError: if it contains no handle
        """

    def release_path(self, handle: str) -> str:
        """Returns the path to which DELETE is sent to release a handle."""
