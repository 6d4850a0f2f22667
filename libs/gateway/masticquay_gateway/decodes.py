"""Has decode engines run requests, and relays their streams."""

import logging

from masticquay_endpoints import connections
from masticquay_gateway import errors
from masticquay_gateway import events
from masticquay_gateway import exchanges
from masticquay_gateway import jobs
from masticquay_gateway import placers
from masticquay_gateway import ports
from masticquay_gateway import relays
from masticquay_serving import counters

LOG = logging.getLogger(__name__)

READ_BYTES = 64 * 1024
REFUSAL_BYTES = 64 * 1024
# An engine with room begins within some tens of milliseconds.
HEAD_TIMEOUT_MS = 1_000
STREAM_GAP_LIMIT_MS = 2_500


class Decoder:
    """Runs requests on decode engines."""

    def __init__(
        self,
        protocol: ports.EndpointProtocol,
        pools: exchanges.Exchanges,
        placer: placers.Placer,
        registry: counters.Registry,
    ):
        self._protocol = protocol
        self._pools = pools
        self._placer = placer
        self._registry = registry

    def run(
        self, job: jobs.Job, place: placers.Place, relay: relays.Relay
    ) -> None:
        """Runs a request at its place and relays the stream to its end.

        :raises NotRunError: when the engine refused it
        :raises OwnFailureError: when the engine ran it and failed
        :raises BrokenStreamError: when the stream ended within an event
        :raises ForeignAnswerError: when the answer is another request's
        :raises EndpointError: when the connection failed
        :raises InterruptedCallError: when the caller left
        """
        headers = self._headers(job, place, relay)
        with self._pools.open(place.decode, job.interrupt) as exchange:
            head = self._begin(job, exchange, headers)
            if not relay.started:
                job.reply.begin(head.status, head.headers)
                relay.started = True
            self._relay(job, place, exchange, relay)
        self._note_success(job, place, relay)

    def _headers(
        self, job: jobs.Job, place: placers.Place, relay: relays.Relay
    ) -> ports.Headers:
        terms = job.terms(relay.cutter.last_id)
        handle = relay.handle
        if handle is None or terms.last_event_id is not None:
            return self._protocol.run_headers(
                job.request.headers, place.decode, terms
            )
        return self._protocol.decode_headers(
            job.request.headers,
            place.decode,
            terms,
            handle.prefill,
            handle.name,
        )

    def _begin(
        self,
        job: jobs.Job,
        exchange: connections.Exchange,
        headers: ports.Headers,
    ) -> ports.AnswerHead:
        """Sends a request and checks the head of its answer."""
        response = exchange.send(
            job.request.method,
            job.request.target,
            headers,
            job.request.body,
            self._head_timeout_ms(job),
        )
        head = self._protocol.read_head(
            job.call, response.status, exchanges.headers_of(exchange)
        )
        if not head.ran:
            exchange.read_body(REFUSAL_BYTES)
            raise errors.NotRunError(
                f'engine refused: {response.status}', response.status
            )
        if not head.genuine:
            raise errors.ForeignAnswerError('not the answer to this request')
        if response.status != 200:
            body = exchange.read_body(REFUSAL_BYTES)
            raise errors.OwnFailureError(response.status, head.headers, body)
        return head

    def _head_timeout_ms(self, job: jobs.Job) -> int:
        """A stream that may go on elsewhere does not wait on a lost answer."""
        limit_ms = job.remaining_ms
        if job.route.resumable:
            limit_ms = min(limit_ms, HEAD_TIMEOUT_MS)
        return max(1, limit_ms)

    def _relay(
        self,
        job: jobs.Job,
        place: placers.Place,
        exchange: connections.Exchange,
        relay: relays.Relay,
    ) -> None:
        cutter = events.EventCutter(relay.cutter.last_id)
        relay.cutter = cutter
        while True:
            limit_ms = max(1, min(job.remaining_ms, STREAM_GAP_LIMIT_MS))
            exchange.connection.set_timeout(limit_ms)
            with exchange.translated_errors():
                data = exchange.response.read1(READ_BYTES)
            if not data:
                break
            whole = cutter.feed(data)
            if whole:
                if not relay.first_ms:
                    self._placer.begin_decode(place)
                relay.note_events(job)
                job.reply.write(whole)
        if cutter.rest:
            raise errors.BrokenStreamError('the stream ends within an event')
        exchange.mark_finished()
        job.reply.finish()

    def _note_success(
        self, job: jobs.Job, place: placers.Place, relay: relays.Relay
    ) -> None:
        LOG.info(
            'stream served',
            extra={
                'call': job.call.call_id,
                'placed_ms': round(relay.placed_ms),
                'prefilled_ms': round(relay.prefilled_ms),
                'first_ms': round(relay.first_ms),
                'longest_gap_ms': round(relay.longest_gap_ms),
                'prompt_tokens': job.call.prompt_tokens,
                'prefill': place.prefill.endpoint_id if place.prefill else '',
                'decode': place.decode.endpoint_id,
                'local': place.local,
            },
        )
        self._registry.observe(
            'first_token_ms',
            relay.first_ms,
            'workspace',
            job.workspace_name or '',
        )
