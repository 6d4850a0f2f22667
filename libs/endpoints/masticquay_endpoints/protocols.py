"""Interfaces of engines and plain services, and the values they exchange."""

from collections import abc
import typing

from masticquay_endpoints import interrupts


class PrefillResult:
    """A completed prefill, whose KV cache the engine keeps for some time.

    :param handle: identifies the KV cache, for import by a decode engine
    :param cached_tokens: prompt tokens that were in the engine's prefix cache
    :param expires_ms: time until the engine drops the KV cache
    """

    __slots__ = ('handle', 'prompt_tokens', 'cached_tokens', 'expires_ms')

    def __init__(
        self,
        handle: str,
        prompt_tokens: int,
        cached_tokens: int,
        expires_ms: int,
    ):
        self.handle = handle
        self.prompt_tokens = prompt_tokens
        self.cached_tokens = cached_tokens
        self.expires_ms = expires_ms


class DecodeRequest:
    """Request to a decode engine to start a generation or to continue one.

    :param source_address: address of the engine that holds the prefill
    :param handle: handle of the prefill result; empty when there is none, and
        then the engine runs the prefill itself
    :param max_tokens: limit of the whole output, from index 0
    :param first_index: index of the first token to return
    :param output_so_far: text of the tokens before ``first_index``
    :param priority: the engine serves lower numbers first
    """

    __slots__ = (
        'request_id',
        'attempt',
        'model',
        'prompt',
        'source_address',
        'handle',
        'max_tokens',
        'first_index',
        'output_so_far',
        'priority',
    )

    def __init__(
        self,
        request_id: str,
        attempt: int,
        model: str,
        prompt: bytes,
        source_address: str,
        handle: str,
        max_tokens: int,
        first_index: int,
        output_so_far: str,
        priority: int,
    ):
        self.request_id = request_id
        self.attempt = attempt
        self.model = model
        self.prompt = prompt
        self.source_address = source_address
        self.handle = handle
        self.max_tokens = max_tokens
        self.first_index = first_index
        self.output_so_far = output_so_far
        self.priority = priority


class TokenBatch:
    """Consecutive tokens of a generation that arrived together.

    :param first_index: index of the first token of the batch
    :param texts: text of each token as a JSON string literal
    :param finish_reason: empty unless this is the last batch
    """

    __slots__ = ('first_index', 'texts', 'finish_reason')

    def __init__(
        self, first_index: int, texts: list[bytes], finish_reason: str = ''
    ):
        self.first_index = first_index
        self.texts = texts
        self.finish_reason = finish_reason


class Engine(typing.Protocol):
    """A model engine.

    Every method raises a subclass of ``EndpointError`` on failure. An
    interrupt ends a call that is waiting.
    """

    def prefill(
        self,
        request_id: str,
        attempt: int,
        model: str,
        prompt: bytes,
        priority: int,
        timeout_ms: int,
        interrupt: interrupts.Interrupt | None = None,
    ) -> PrefillResult:
        """Prefills the prompt; the engine holds the KV cache for import."""

    def decode(
        self,
        request: DecodeRequest,
        first_token_timeout_ms: int,
        stall_timeout_ms: int,
        interrupt: interrupts.Interrupt | None = None,
    ) -> abc.Iterator[TokenBatch]:
        """Imports the KV cache, if there is a handle, and streams tokens.

        Closing the iterator closes the connection.

        :param first_token_timeout_ms: limit of the time to the first token
        :param stall_timeout_ms: limit of the time between tokens after it
        """

    def resume(
        self,
        request_id: str,
        attempt: int,
        first_index: int,
        stall_timeout_ms: int,
        interrupt: interrupts.Interrupt | None = None,
    ) -> abc.Iterator[TokenBatch]:
        """Streams a running generation again, from ``first_index`` on."""

    def cancel(self, request_id: str, timeout_ms: int) -> None:
        """Frees all resources of a request; returns when acknowledged."""


class Answer:
    """The response of a plain service."""

    __slots__ = ('status', 'headers', 'body')

    def __init__(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ):
        self.status = status
        self.headers = headers
        self.body = body


class Service(typing.Protocol):
    """A plain service, that is, an HTTP endpoint that is not an engine."""

    def send(
        self,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        timeout_ms: int,
        interrupt: interrupts.Interrupt | None = None,
    ) -> Answer:
        """Sends a request over a new connection and returns the response.

        :param interrupt: ends the call while it is waiting
        :raises NotSentError: when no byte of the request was sent
        :raises EndpointError: when the service may have executed it
        """
