"""Errors of the entry daemon."""

from masticquay_endpoints import errors as endpoint_errors
from masticquay_routing import messages
from masticquay_routing import server_loads

Headers = list[tuple[str, str]]


class GatewayError(Exception):
    """Base class of this library's errors."""


class ProtocolError(GatewayError):
    """An endpoint's response violates its protocol."""


class TruncatedStreamError(GatewayError):
    """An engine's stream ended within an event."""


class NotRunError(GatewayError):
    """An endpoint refused a request without running it.

    :param status: HTTP status of the refusal
    :param load: the load there, None if not reported
    """

    def __init__(
        self,
        detail: str,
        status: int,
        load: server_loads.ServerLoad | None = None,
    ):
        super().__init__(detail)
        self.status = status
        self.load = load


class HarmfulPromptError(GatewayError):
    """Engines ended on prompts with a part that this one has, too.

    :param wait_ms: how long such prompts are refused
    """

    def __init__(self, wait_ms: int):
        super().__init__(messages.REASON_HARMFUL_PROMPT)
        self.wait_ms = wait_ms


class NoSlotError(GatewayError):
    """No slot of a scarce service gets free in time; nothing was sent.

    :param wait_ms: when the caller may try again
    """

    def __init__(self, wait_ms: int):
        super().__init__('no slot of the service gets free in time')
        self.wait_ms = wait_ms


class WithheldError(endpoint_errors.NotSentError):
    """An endpoint that leaves or wants a pause got no request.

    No byte was sent, and the endpoint has not failed.
    """


class PrefillFailedError(GatewayError):
    """Prefill failed, and the request was not sent to a decode engine."""


class TooLateError(GatewayError):
    """The caller would give up before the prompt was read."""


class ResponseMismatchError(GatewayError):
    """An endpoint's answer proves nothing of this request."""


class EngineFailedError(GatewayError):
    """An engine ran the request and returned an error response."""

    def __init__(self, status: int, headers: Headers, body: bytes):
        super().__init__(f'status {status}')
        self.status = status
        self.headers = headers
        self.body = body


class PathLostError(endpoint_errors.EndpointError):
    """This host lost its path to endpoints during an exchange.

    The endpoint may have got the request; it is not to blame.

    :param is_stalled: whether nothing came, rather than a reset
    """

    def __init__(self, detail: str, is_stalled: bool):
        super().__init__(detail)
        self.is_stalled = is_stalled


class NoPathError(endpoint_errors.NotSentError):
    """This host has no path to an endpoint, and no peer takes the request.

    No byte was sent, and the endpoint is not to blame.
    """


class PeerBrokenError(PathLostError):
    """An exchange by way of a peer broke off at the peer, not the endpoint.

    The endpoint may have got the request; it is not to blame.
    """

    def __init__(self, detail: str, is_stalled: bool = False):
        super().__init__(detail, is_stalled)


class EndpointEndedError(endpoint_errors.EndpointError):
    """The endpoint broke a request off and takes no connections any more."""
