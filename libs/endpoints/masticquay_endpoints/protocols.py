"""The edges to systems that are not ours: one Protocol for each kind."""

from collections import abc
import typing

from masticquay_endpoints import interrupts


class PrefillResult:
    """A prefill that an engine holds for a short time.

    :param handle: names the KV cache for the import by a decode engine
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
    """What a decode engine needs to begin or to resume an answer.

    :param source_address: the engine that holds the prefill
    :param first_index: the index of the first token wanted
    :param output_so_far: text of the tokens before it
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
    """Consecutive tokens of an answer, as they arrived together.

    :param first_index: the index of the first of them
    :param texts: each token's text as a JSON string literal
    :param finish_reason: empty unless the answer ends with this batch
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
    interrupt ends a call that waits.
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
        """Runs the prompt and holds its KV cache for import."""

    def decode(
        self,
        request: DecodeRequest,
        first_timeout_ms: int,
        stall_timeout_ms: int,
        interrupt: interrupts.Interrupt | None = None,
    ) -> abc.Iterator[TokenBatch]:
        """Imports the KV cache and streams tokens.

        Closing the iterator closes the connection.
        """

    def resume(
        self,
        request_id: str,
        attempt: int,
        first_index: int,
        stall_timeout_ms: int,
        interrupt: interrupts.Interrupt | None = None,
    ) -> abc.Iterator[TokenBatch]:
        """Streams a running answer again, from a token on."""

    def cancel(self, request_id: str, timeout_ms: int) -> None:
        """Frees all that a request holds; returns once acknowledged."""


class Answer:
    """The answer of a plain service."""

    __slots__ = ('status', 'headers', 'body')

    def __init__(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ):
        self.status = status
        self.headers = headers
        self.body = body


class Service(typing.Protocol):
    """A plain service."""

    def send(
        self,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        timeout_ms: int,
        interrupt: interrupts.Interrupt | None = None,
    ) -> Answer:
        """Makes one call over a connection of its own.

        :param interrupt: ends the call while it waits
        :raises NotSentError: no byte of the call went out
        :raises EndpointError: the call may have run
        """
