"""Has prompts read by prefill engines, and frees handles nobody takes."""

import logging
import threading
import time

from masticquay_endpoints import interrupts
from masticquay_gateway import errors
from masticquay_gateway import exchanges
from masticquay_gateway import jobs
from masticquay_gateway import placers
from masticquay_gateway import ports
from masticquay_gateway import relays
from masticquay_gateway import retries
from masticquay_gateway import troubles
from masticquay_routing import fleets
from masticquay_serving import counters

LOG = logging.getLogger(__name__)

ANSWER_BYTES = 64 * 1024
DEFAULT_HANDLE_TTL_MS = 500
# A silent engine is given up after this multiple of the expected time.
TIMEOUT_MIN_MS = 250
TIMEOUT_FACTOR = 2.2
RELEASE_TIMEOUT_MS = 500

_UNUSABLE = (exchanges.NotSentError, exchanges.StalledError)


class Prefiller:
    """Sends prompts to prefill engines."""

    def __init__(
        self,
        protocol: ports.EndpointProtocol,
        pools: exchanges.Exchanges,
        placer: placers.Placer,
        budgets: retries.Budgets,
        notes: troubles.Troubles,
        registry: counters.Registry,
    ):
        self._protocol = protocol
        self._pools = pools
        self._placer = placer
        self._budgets = budgets
        self._troubles = notes
        self._registry = registry

    def read(
        self, job: jobs.Job, place: placers.Place, prefill: fleets.Endpoint
    ) -> relays.Handle | None:
        """Has the prompt read; None when that failed.

        :raises InterruptedCallError: when the caller left
        """
        started_s = time.monotonic()
        try:
            name = self._exchange(job, place, prefill)
        except exchanges.InterruptedCallError:
            raise
        except exchanges.EndpointError as cause:
            self._troubles.note_failure(job, prefill, cause)
            if not isinstance(cause, _UNUSABLE):
                # Only the answer was lost; the engine may be asked again.
                job.tried.discard(prefill.endpoint_id)
            self._budgets.note_repeat(job.service)
            return None
        except (errors.NotRunError, errors.ProtocolError) as cause:
            self._troubles.note_prefill_refusal(job, place, cause)
            self._budgets.note_repeat(job.service)
            return None
        duration_ms = (time.monotonic() - started_s) * 1000
        self._placer.finish_prefill(place)
        self._registry.observe('prefill_ms', duration_ms)
        return relays.Handle(prefill, name, self._ttl_ms(job) / 1000)

    def drop(self, relay: relays.Relay) -> None:
        """Frees a handle unless the engine that streams took it."""
        handle, relay.handle = relay.handle, None
        if handle is not None and not relay.started:
            threading.Thread(
                target=self._delete, args=(handle,), daemon=True
            ).start()

    def _exchange(
        self, job: jobs.Job, place: placers.Place, prefill: fleets.Endpoint
    ) -> str:
        headers = self._protocol.prefill_headers(
            job.request.headers, prefill, job.terms()
        )
        with self._pools.open(prefill, job.interrupt) as exchange:
            response = exchange.send(
                job.request.method,
                job.request.target,
                headers,
                job.request.body,
                self._timeout_ms(job, place),
            )
            body = exchange.read_body(ANSWER_BYTES)
        if response.status != 200:
            raise errors.NotRunError(
                f'prefill refused: {response.status}', response.status
            )
        return self._protocol.read_handle(body)

    def _ttl_ms(self, job: jobs.Job) -> int:
        table = job.table
        engine = table.services[job.service].engine if table else None
        return engine.handle_ttl_ms if engine else DEFAULT_HANDLE_TTL_MS

    def _timeout_ms(self, job: jobs.Job, place: placers.Place) -> int:
        expected_ms = max(place.prefill_ms, TIMEOUT_MIN_MS)
        limit_ms = int(expected_ms * TIMEOUT_FACTOR)
        return max(1, min(job.remaining_ms, limit_ms))

    def _delete(self, handle: relays.Handle) -> None:
        target = self._protocol.release_target(handle.name)
        try:
            interrupt = interrupts.Interrupt()
            with self._pools.open(handle.prefill, interrupt) as exchange:
                exchange.send('DELETE', target, [], b'', RELEASE_TIMEOUT_MS)
                exchange.read_body(ANSWER_BYTES)
        except exchanges.EndpointError as cause:
            LOG.info(
                'handle not freed',
                extra={
                    'endpoint': handle.prefill.endpoint_id,
                    'cause': str(cause),
                },
            )
