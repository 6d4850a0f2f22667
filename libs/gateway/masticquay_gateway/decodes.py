"""Runs requests on decode engines and relays the streams to callers."""

import logging

from masticquay_gateway import answers
from masticquay_gateway import errors
from masticquay_gateway import events
from masticquay_gateway import exchanges
from masticquay_gateway import jobs
from masticquay_gateway import notices
from masticquay_gateway import paths
from masticquay_gateway import placed_requests
from masticquay_gateway import placers
from masticquay_gateway import ports
from masticquay_gateway import relays
from masticquay_gateway import silences
from masticquay_routing import fleets
from masticquay_serving import counters

LOG = logging.getLogger(__name__)

READ_SIZE_BYTES = 16 * 1024
MAX_ERROR_BODY_BYTES = 64 * 1024
# An engine with free capacity sends the response head within some tens of
# milliseconds.
HEAD_TIMEOUT_MS = 1_000
# A stream without a complete event for this time counts as broken.
MAX_STREAM_GAP_MS = 2_500
LENGTH_HEADERS = ('Content-Length', 'Transfer-Encoding')
# Who resumed a broken stream, in logs and metrics: its caller with another
# request, or this host within one response.
RESUMED_BY_CALLER = 'caller'
RESUMED_BY_HOST = 'host'


class Decoder:
    """Runs requests on decode engines."""

    def __init__(
        self,
        protocol: ports.EndpointProtocol,
        endpoint_paths: paths.Paths,
        placer: placers.Placer,
        endpoint_notices: notices.EndpointNotices,
        registry: counters.Registry,
    ):
        self._protocol = protocol
        self._paths = endpoint_paths
        self._placer = placer
        self._notices = endpoint_notices
        self._registry = registry
        self._checker = answers.AnswerChecker(
            protocol, endpoint_notices, registry
        )
        self._silences = silences.Silences(placer, registry)

    def run(
        self,
        job: jobs.Job,
        placement: placed_requests.RequestPlacement,
        stream: relays.RelayedStream,
    ) -> None:
        """Runs a request on its decode engine and relays the whole stream.

        :raises WithheldError: if the engine leaves or wants a pause
        :raises NotRunError: if the engine refused the request
        :raises EngineFailedError: if the engine returned an error response
        :raises TruncatedStreamError: if the stream ended within an event, or
            its connection before the first one
        :raises ResponseMismatchError: if it is not this request's response
        :raises EndpointError: if the connection failed
        :raises InterruptedCallError: if the caller disconnected
        :raises CallerDisconnectedError: if sending to the caller failed
        """
        stream.engine_began_s = 0.0
        purpose = ports.ExchangePurpose(
            job.call.call_id,
            lasts_ms=job.remaining_ms,
            allows_place=job.allows_place,
        )
        with (
            job.attempts.sending(placement.decode.endpoint_id),
            self._paths.open(
                placement.decode,
                job.interrupt,
                purpose,
                self._head_timeout_ms(job),
            ) as exchange,
        ):
            self._notices.require_usable(placement.decode)
            # After the wait for a connection, as they name the time left.
            headers = self._request_headers(job, placement, stream)
            head = self._send_request(job, placement.decode, exchange, headers)
            if stream.splitter.last_id is not None:
                self._record_resumption(job, placement, stream)
            if not stream.started:
                job.reply.begin(head.status, head.headers)
                stream.started = True
            self._relay_stream(job, placement, exchange, stream)
        self._record_success(job, placement, stream)

    def _request_headers(
        self,
        job: jobs.Job,
        placement: placed_requests.RequestPlacement,
        stream: relays.RelayedStream,
    ) -> ports.Headers:
        context = job.engine_context(stream.splitter.last_id)
        handle = stream.handle
        if handle is None or context.last_event_id is not None:
            return self._protocol.run_headers(
                job.request.headers, placement.decode, context
            )
        return self._protocol.decode_headers(
            job.request.headers,
            placement.decode,
            context,
            handle.prefill,
            handle.handle_id,
        )

    def _send_request(
        self,
        job: jobs.Job,
        decode: fleets.Endpoint,
        exchange: paths.Exchange,
        headers: ports.Headers,
    ) -> ports.ResponseHead:
        """Sends a request and returns the head of a successful response."""
        exchange.send(
            job.request.method,
            job.request.target,
            headers,
            job.request.body,
            self._head_timeout_ms(job),
        )
        head = self._checker.check(job.call.call_id, decode, exchange)
        if head.status != 200:
            body = exchange.read_body(MAX_ERROR_BODY_BYTES)
            raise errors.EngineFailedError(head.status, head.headers, body)
        return head

    def _head_timeout_ms(self, job: jobs.Job) -> int:
        """Returns the time to wait for the response head.

        The wait is short for a resumable stream, which another engine can
        serve if the response was lost.
        """
        limit_ms = job.remaining_ms
        if job.route.resumable:
            limit_ms = min(limit_ms, HEAD_TIMEOUT_MS)
        return max(1, limit_ms)

    def _relay_stream(
        self,
        job: jobs.Job,
        placement: placed_requests.RequestPlacement,
        exchange: paths.Exchange,
        stream: relays.RelayedStream,
    ) -> None:
        is_resumed = stream.splitter.last_id is not None
        splitter = events.EventSplitter(stream.splitter.last_id)
        stream.splitter = splitter
        _limit_gap(job, exchange)
        self._silences.outlast(
            job, placement.decode, exchange, stream.can_move
        )
        while data := _read_stream(job, exchange):
            complete_events = _split(splitter, data)
            if events.has_event(complete_events):
                if is_resumed and not events.has_id(complete_events):
                    raise errors.TruncatedStreamError(
                        'stream does not go on with an event'
                    )
                is_resumed = False
                if not stream.first_ms:
                    stream.software_version = placement.decode.software_version
                    self._placer.begin_decode(placement, job.first_call_id)
                    self._record_first_events(job, placement)
                stream.record_events(job)
                job.reply.write(complete_events)
                _limit_gap(job, exchange)
            elif complete_events:
                job.reply.write(complete_events)
                # Another engine may write what this one does not; if there is
                # none, it is waited for as for a silent one.
                if not stream.can_move():
                    _limit_gap(job, exchange)
            exchange.hold_memory(len(splitter.incomplete) + READ_SIZE_BYTES)
        if splitter.incomplete:
            raise errors.TruncatedStreamError('stream ended within an event')
        if exchange.response.length:
            raise errors.TruncatedStreamError(
                f'stream is {exchange.response.length} bytes short'
            )
        if not stream.engine_began_s and not _says_its_end(exchange):
            raise errors.TruncatedStreamError('stream ended before an event')
        exchange.mark_finished()
        job.reply.finish()

    def _record_first_events(
        self, job: jobs.Job, placement: placed_requests.RequestPlacement
    ) -> None:
        """Logs where a stream begins, or where its caller resumes it."""
        call = job.call
        decode = placement.decode
        resumed_by = RESUMED_BY_CALLER if call.resumes_stream else ''
        if resumed_by:
            self._count_resumption(resumed_by)
        LOG.info(
            'stream began',
            extra={
                'call': call.call_id,
                'decode': decode.endpoint_id,
                'software_version': decode.software_version,
                'resumed_by': resumed_by,
                'first_call': call.first_call_id,
                'last_event': call.last_event_id,
                'local': placement.local,
            },
        )

    def _record_resumption(
        self,
        job: jobs.Job,
        placement: placed_requests.RequestPlacement,
        stream: relays.RelayedStream,
    ) -> None:
        """Logs that this host resumes a broken stream at an engine."""
        self._count_resumption(RESUMED_BY_HOST)
        LOG.warning(
            'stream resumed',
            extra={
                'call': job.call.call_id,
                'decode': placement.decode.endpoint_id,
                'software_version': placement.decode.software_version,
                'resumed_by': RESUMED_BY_HOST,
                'last_event': stream.splitter.last_id,
                'local': placement.local,
            },
        )

    def _count_resumption(self, resumed_by: str) -> None:
        self._registry.count('streams_resumed', 'resumed_by', resumed_by)

    def _record_success(
        self,
        job: jobs.Job,
        placement: placed_requests.RequestPlacement,
        stream: relays.RelayedStream,
    ) -> None:
        LOG.info(
            'stream served',
            extra={
                'call': job.call.call_id,
                'placed_ms': round(stream.placed_ms),
                'prefilled_ms': round(stream.prefilled_ms),
                'first_ms': round(stream.first_ms),
                'longest_gap_ms': round(stream.longest_gap_ms),
                'prompt_tokens': job.call.prompt_tokens,
                'prefill': placement.prefill.endpoint_id
                if placement.prefill
                else '',
                'decode': placement.decode.endpoint_id,
                'local': placement.local,
            },
        )
        self._registry.observe(
            'first_token_ms',
            stream.first_ms,
            'workspace',
            job.workspace_name or '',
        )


def _limit_gap(job: jobs.Job, exchange: paths.Exchange) -> None:
    """Limits the time from now to the next complete event."""
    exchange.connection.set_timeout(min(job.remaining_ms, MAX_STREAM_GAP_MS))


def _read_stream(job: jobs.Job, exchange: paths.Exchange) -> bytes:
    """Returns further data of a stream, nothing at its end.

    :raises InterruptedCallError: if the caller disconnected
    :raises ExchangeTimeoutError: if it goes on beyond the request's time
    :raises EndpointError: if the connection failed
    """
    is_late = job.remaining_ms <= 0
    with exchange.translate_errors():
        data = exchange.response.read1(READ_SIZE_BYTES)
    # An interrupt ends the connection, which looks like the stream's end.
    if not data:
        job.interrupt.check()
    if data and is_late:
        raise exchanges.ExchangeTimeoutError('stream unfinished in its time')
    return data


def _says_its_end(exchange: paths.Exchange) -> bool:
    """Whether the answer says where it ends, not only its connection.

    By way of a peer, too, the headers are those of the engine.
    """
    return any(name in exchange.response.headers for name in LENGTH_HEADERS)


def _split(splitter: events.EventSplitter, data: bytes) -> bytes:
    """Returns the events that are now complete.

    :raises EndpointError: if an event is too large
    """
    try:
        return splitter.feed(data)
    except ValueError as cause:
        raise exchanges.EndpointError(str(cause)) from cause
