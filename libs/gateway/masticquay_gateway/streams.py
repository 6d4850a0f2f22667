"""Requests to model engines: place, prefill, decode, relay, resume."""

import itertools
import logging
import random
import threading
import time

from masticquay_endpoints import connections
from masticquay_gateway import errors
from masticquay_gateway import events
from masticquay_gateway import exchanges
from masticquay_gateway import fleet_states
from masticquay_gateway import jobs
from masticquay_gateway import placers
from masticquay_gateway import ports
from masticquay_gateway import relays
from masticquay_gateway import retries
from masticquay_routing import fleets
from masticquay_routing import messages
from masticquay_routing import tickets
from masticquay_serving import counters

LOG = logging.getLogger(__name__)

READ_BYTES = 64 * 1024
PREFILL_ANSWER_BYTES = 64 * 1024
# A request that cannot get its first token in time any more is refused
# after this part of its target.
WAIT_SHARE = 0.6
# One that was refused before is late anyway and may wait longer, as long as
# the time left suffices for an answer.
LATE_WAIT_MS = 2_600
LATE_RESERVE_MS = 1_000
MAX_SENDS = 4
# An engine with room begins within some tens of milliseconds.
HEAD_TIMEOUT_MS = 1_000
DEFAULT_HANDLE_TTL_MS = 500
# How long an engine is left alone that refused: as its role is another one,
# or as it is full.
WRONG_ROLE_PAUSE_MS = 1_500
FULL_PAUSE_MS = 300
STATUS_WRONG_ROLE = 421
PREFILL_MIN_MS = 250
PREFILL_TIMEOUT_FACTOR = 2.2
STREAM_GAP_LIMIT_MS = 2_500
RELEASE_TIMEOUT_MS = 500
RETURN_MS = 500


class Streamer:
    """Runs model requests."""

    def __init__(
        self,
        host: str,
        state: fleet_states.FleetState,
        protocol: ports.EndpointProtocol,
        pools: exchanges.Exchanges,
        placer: placers.Placer,
        budgets: retries.Budgets,
        registry: counters.Registry,
    ):
        self._host = host
        self._state = state
        self._protocol = protocol
        self._pools = pools
        self._placer = placer
        self._budgets = budgets
        self._registry = registry
        self._numbers = itertools.count(random.getrandbits(40))

    def run(self, job: jobs.Job) -> ports.Refusal | None:
        """Runs a request and relays its stream.

        :returns: a refusal, if the caller got no part of an answer
        :raises InterruptedCallError: when the caller left
        """
        self._budgets.note_request(job.service)
        relay = relays.Relay()
        refusal: ports.Refusal | None = None
        for sends in range(MAX_SENDS):
            if sends and not self._budgets.take(job.service):
                break
            place = self._place(job, relay, charged=sends > 0)
            if isinstance(place, messages.Refused):
                self._drop_handle(relay)
                return self._end(job, relay, refusal or _refusal_of(place))
            sound = False
            try:
                self._send(job, place, relay)
                sound = True
                return None
            except errors.NotRunError as cause:
                sound = True
                refusal = _join_not_run(refusal, cause)
                self._note_refusal(job, place, cause)
            except errors.OwnFailureError as cause:
                self._log(job, place, 'engine failed it', cause)
                if relay.started:
                    refusal = ports.Refusal(ports.Reason.UNKNOWN, str(cause))
                else:
                    job.reply.send(cause.status, cause.headers, cause.body)
                    return None
            except exchanges.NotSentError as cause:
                refusal = _join_not_run(refusal, cause)
                self._note_trouble(job, place.decode, cause)
            except exchanges.InterruptedCallError:
                sound = True
                raise
            except (
                exchanges.EndpointError,
                errors.BrokenStreamError,
                errors.ForeignAnswerError,
            ) as cause:
                self._note_trouble(job, place.decode, cause)
                if _kept_prompt(cause) and not sends:
                    relay.keeper = place.decode.endpoint_id
                    job.tried.discard(relay.keeper)
                if not job.route.resumable or job.remaining_ms <= 0:
                    reason = ports.Reason.UNKNOWN
                    if job.remaining_ms <= 0:
                        reason = ports.Reason.TIMED_OUT
                    return self._end(
                        job, relay, ports.Refusal(reason, str(cause))
                    )
                refusal = ports.Refusal(ports.Reason.UNKNOWN, str(cause))
            finally:
                self._placer.finish(place, sound)
            if job.remaining_ms <= 0:
                break
        self._drop_handle(relay)
        return self._end(job, relay, refusal)

    def _end(
        self, job: jobs.Job, relay: relays.Relay, refusal: ports.Refusal | None
    ) -> ports.Refusal | None:
        if relay.started:
            job.reply.abort()
            LOG.warning(
                'stream broken off',
                extra={
                    'call': job.call.call_id,
                    'last_event': relay.cutter.last_id,
                    'detail': refusal.detail if refusal else '',
                },
            )
            return None
        return refusal

    def _place(
        self, job: jobs.Job, relay: relays.Relay, charged: bool
    ) -> placers.Place | messages.Refused:
        call = job.call
        prompt_tokens = call.prompt_tokens or 0
        urgent_ms = int(job.route.target_ms - job.elapsed_ms)
        wait_ms = int(job.route.target_ms * WAIT_SHARE - job.elapsed_ms)
        if charged:
            wait_ms = max(wait_ms, RETURN_MS)
        workspace = job.workspace
        request = messages.Admit(
            host=self._host,
            number=next(self._numbers),
            service=job.service,
            workspace=workspace.name if workspace else '',
            cost=float(workspace.cost(call.tokens)) if workspace else 0.0,
            prompt_tokens=prompt_tokens,
            output_tokens=tickets.expected_output(
                call.hint_tokens, call.limit_tokens or 0
            ),
            priority=job.priority,
            urgent_ms=max(0, urgent_ms),
            wait_ms=max(0, min(wait_ms, job.remaining_ms)),
            late_wait_ms=self._late_wait_ms(job),
            prompt_key=call.prompt_key,
            avoid=sorted(job.tried),
            prefer=relay.keeper,
            prefilled=relay.handle is not None and relay.handle.is_fresh,
            charged=charged,
            pause_ms=job.route.gap_ms or tickets.DEFAULT_PAUSE_MS,
        )
        relay.keeper = ''
        placed = self._placer.place(request, job.interrupt)
        relay.placed_ms = job.elapsed_ms
        return placed

    def _late_wait_ms(self, job: jobs.Job) -> int:
        left_ms = min(
            job.remaining_ms, job.route.patience_ms - int(job.elapsed_ms)
        )
        return max(0, min(LATE_WAIT_MS, left_ms - LATE_RESERVE_MS))

    def _send(
        self, job: jobs.Job, place: placers.Place, relay: relays.Relay
    ) -> None:
        if relay.handle is not None and not relay.handle.is_fresh:
            relay.handle = None
        if place.prefill is not None and relay.cutter.last_id is None:
            relay.handle = self._prefill(job, place, place.prefill)
            relay.prefilled_ms = job.elapsed_ms
        headers = self._decode_headers(job, place, relay)
        refused = False
        try:
            with self._pools.open(place.decode, job.interrupt) as exchange:
                self._decode(job, place, exchange, headers, relay)
        except errors.NotRunError:
            refused = True
            raise
        finally:
            if not refused:
                self._drop_handle(relay)

    def _decode_headers(
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

    def _drop_handle(self, relay: relays.Relay) -> None:
        """Frees a handle unless the engine that streams took it."""
        handle, relay.handle = relay.handle, None
        if handle is not None and not relay.started:
            self._release(handle.prefill, handle.name)

    def _prefill(
        self, job: jobs.Job, place: placers.Place, prefill: fleets.Endpoint
    ) -> relays.Handle | None:
        """Has the prompt read; None when the decode engine must do it."""
        headers = self._protocol.prefill_headers(
            job.request.headers, prefill, job.terms()
        )
        started_s = time.monotonic()
        try:
            with self._pools.open(prefill, job.interrupt) as exchange:
                response = exchange.send(
                    job.request.method,
                    job.request.target,
                    headers,
                    job.request.body,
                    self._prefill_timeout_ms(job, place),
                )
                body = exchange.read_body(PREFILL_ANSWER_BYTES)
            if response.status != 200:
                raise errors.NotRunError(
                    f'prefill refused: {response.status}', response.status
                )
            name = self._protocol.read_handle(body)
        except exchanges.InterruptedCallError:
            raise
        except exchanges.EndpointError as cause:
            self._note_trouble(job, prefill, cause)
            self._budgets.note_repeat(job.service)
            return None
        except (errors.NotRunError, errors.ProtocolError) as cause:
            self._log(job, place, 'prefill without result', cause)
            job.tried.add(prefill.endpoint_id)
            self._placer.note_refusal(job.service, prefill, FULL_PAUSE_MS)
            self._budgets.note_repeat(job.service)
            return None
        duration_ms = (time.monotonic() - started_s) * 1000
        self._placer.finish_prefill(place)
        self._registry.observe('prefill_ms', duration_ms)
        return relays.Handle(prefill, name, self._handle_ttl_ms(job) / 1000)

    def _handle_ttl_ms(self, job: jobs.Job) -> int:
        table = job.table
        engine = table.services[job.service].engine if table else None
        return engine.handle_ttl_ms if engine else DEFAULT_HANDLE_TTL_MS

    def _prefill_timeout_ms(self, job: jobs.Job, place: placers.Place) -> int:
        """A silent engine is given up while the decode engine has time."""
        expected_ms = max(place.prefill_ms, PREFILL_MIN_MS)
        limit_ms = int(expected_ms * PREFILL_TIMEOUT_FACTOR)
        return max(1, min(job.remaining_ms, limit_ms))

    def _head_timeout_ms(self, job: jobs.Job) -> int:
        """A stream that may go on elsewhere does not wait on a lost answer."""
        limit_ms = job.remaining_ms
        if job.route.resumable:
            limit_ms = min(limit_ms, HEAD_TIMEOUT_MS)
        return max(1, limit_ms)

    def _decode(
        self,
        job: jobs.Job,
        place: placers.Place,
        exchange: connections.Exchange,
        headers: ports.Headers,
        relay: relays.Relay,
    ) -> None:
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
            exchange.read_body(PREFILL_ANSWER_BYTES)
            raise errors.NotRunError(
                f'engine refused: {response.status}', response.status
            )
        if not head.genuine:
            raise errors.ForeignAnswerError('not the answer to this request')
        if response.status != 200:
            body = exchange.read_body(PREFILL_ANSWER_BYTES)
            raise errors.OwnFailureError(response.status, head.headers, body)
        if not relay.started:
            job.reply.begin(response.status, head.headers)
            relay.started = True
        self._relay(job, place, exchange, relay)

    def _relay(
        self,
        job: jobs.Job,
        place: placers.Place,
        exchange: connections.Exchange,
        relay: relays.Relay,
    ) -> None:
        response = exchange.response
        cutter = events.EventCutter(relay.cutter.last_id)
        relay.cutter = cutter
        while True:
            limit_ms = max(1, min(job.remaining_ms, STREAM_GAP_LIMIT_MS))
            exchange.connection.set_timeout(limit_ms)
            with exchange.translated_errors():
                data = response.read1(READ_BYTES)
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

    def _release(self, prefill: fleets.Endpoint, handle: str) -> None:
        """Frees a handle that nobody will take, without waiting."""
        threading.Thread(
            target=self._delete_handle, args=(prefill, handle), daemon=True
        ).start()

    def _delete_handle(self, prefill: fleets.Endpoint, handle: str) -> None:
        target = self._protocol.release_target(handle)
        try:
            interrupt = placers.interrupts.Interrupt()
            with self._pools.open(prefill, interrupt) as exchange:
                exchange.send('DELETE', target, [], b'', RELEASE_TIMEOUT_MS)
                exchange.read_body(PREFILL_ANSWER_BYTES)
        except exchanges.EndpointError as cause:
            LOG.info(
                'handle not freed',
                extra={'endpoint': prefill.endpoint_id, 'cause': str(cause)},
            )

    def _note_refusal(
        self, job: jobs.Job, place: placers.Place, cause: errors.NotRunError
    ) -> None:
        self._log(job, place, 'not run', cause)
        job.tried.add(place.decode.endpoint_id)
        pause_ms = FULL_PAUSE_MS
        if cause.status == STATUS_WRONG_ROLE:
            pause_ms = WRONG_ROLE_PAUSE_MS
        self._placer.note_refusal(job.service, place.decode, pause_ms)

    def _note_trouble(
        self, job: jobs.Job, endpoint: fleets.Endpoint, cause: Exception
    ) -> None:
        job.tried.add(endpoint.endpoint_id)
        self._registry.count('engine_trouble', 'service', job.service)
        LOG.warning(
            'engine trouble',
            extra={
                'call': job.call.call_id,
                'endpoint': endpoint.endpoint_id,
                'cause': f'{type(cause).__name__}: {cause}',
            },
        )
        reached = not isinstance(cause, exchanges.NotSentError)
        self._placer.note_trouble(job.service, endpoint, reached, str(cause))

    def _log(
        self,
        job: jobs.Job,
        place: placers.Place,
        message: str,
        cause: Exception,
    ) -> None:
        prefill = place.prefill
        LOG.warning(
            message,
            extra={
                'call': job.call.call_id,
                'prefill': prefill.endpoint_id if prefill else None,
                'decode': place.decode.endpoint_id,
                'local': place.local,
                'cause': str(cause),
                'elapsed_ms': round(job.elapsed_ms),
            },
        )


def _join_not_run(
    earlier: ports.Refusal | None, cause: Exception
) -> ports.Refusal:
    refusal = ports.Refusal(ports.Reason.NOT_RUN, str(cause), RETURN_MS)
    return ports.join_refusals(earlier, refusal)


def _kept_prompt(cause: Exception) -> bool:
    """Whether the engine seems to run on, so that it keeps the prompt."""
    return isinstance(cause, exchanges.EndpointError)


def _refusal_of(refused: messages.Refused) -> ports.Refusal:
    reason = ports.Reason.NOT_RUN
    if refused.over_rate:
        reason = ports.Reason.OVER_RATE
    return ports.Refusal(reason, refused.reason, refused.retry_after_ms)
