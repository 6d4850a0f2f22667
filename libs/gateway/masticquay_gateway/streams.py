"""Requests to model engines: place, prefill, decode, resume."""

import itertools
import logging
import random

from masticquay_gateway import decodes
from masticquay_gateway import errors
from masticquay_gateway import exchanges
from masticquay_gateway import jobs
from masticquay_gateway import placers
from masticquay_gateway import ports
from masticquay_gateway import prefills
from masticquay_gateway import relays
from masticquay_gateway import retries
from masticquay_gateway import troubles
from masticquay_routing import messages
from masticquay_routing import tickets
from masticquay_serving import counters

LOG = logging.getLogger(__name__)

# A request that cannot get its first token in time any more is refused
# after this part of its target.
WAIT_SHARE = 0.6
# One that was refused before is late anyway and may wait longer, as long as
# the time left suffices for an answer.
LATE_WAIT_MS = 2_600
LATE_RESERVE_MS = 1_000
MAX_SENDS = 4
RETURN_MS = 500
# A shorter prompt that was not read apart disturbs its decode engine little.
REPLACE_MIN_TOKENS = 1_000


class _Failure:
    """Why an attempt gave the caller no whole answer.

    :param again: whether the request may be sent again
    :param unsent: whether no engine was asked to run it, so that the next
        attempt is its first
    """

    __slots__ = ('refusal', 'again', 'unsent')

    def __init__(
        self, refusal: ports.Refusal, again: bool, unsent: bool = False
    ):
        self.refusal = refusal
        self.again = again
        self.unsent = unsent


class Streamer:
    """Runs model requests."""

    def __init__(
        self,
        host: str,
        protocol: ports.EndpointProtocol,
        pools: exchanges.Exchanges,
        placer: placers.Placer,
        budgets: retries.Budgets,
        registry: counters.Registry,
    ):
        self._host = host
        self._placer = placer
        self._budgets = budgets
        self._troubles = troubles.Troubles(placer, registry)
        self._prefiller = prefills.Prefiller(
            protocol, pools, placer, budgets, self._troubles, registry
        )
        self._decoder = decodes.Decoder(protocol, pools, placer, registry)
        self._numbers = itertools.count(random.getrandbits(40))

    def run(self, job: jobs.Job) -> ports.Refusal | None:
        """Runs a request and relays its stream.

        :returns: a refusal, if the caller got no part of an answer
        :raises InterruptedCallError: when the caller left
        """
        self._budgets.note_request(job.service)
        relay = relays.Relay()
        refusal: ports.Refusal | None = None
        is_first = True
        for sends in range(MAX_SENDS):
            if not is_first and not self._budgets.take(job.service):
                break
            place = self._place(job, relay, charged=sends > 0)
            if isinstance(place, messages.Refused):
                refusal = ports.join_refusals(refusal, _refusal_of(place))
                break
            failure = self._attempt(job, place, relay, may_replace=sends == 0)
            if failure is None:
                return None
            is_first = failure.unsent
            refusal = ports.join_refusals(refusal, failure.refusal)
            if not failure.again or job.remaining_ms <= 0:
                break
        self._prefiller.drop(relay)
        return self._end(job, relay, refusal)

    def _attempt(
        self,
        job: jobs.Job,
        place: placers.Place,
        relay: relays.Relay,
        may_replace: bool,
    ) -> _Failure | None:
        """Sends a request once and gives its place back.

        :param may_replace: whether another place may be asked for when the
            prompt was not read apart
        :returns: None when the caller has an engine's answer
        """
        sound = True
        try:
            self._send(job, place, relay, may_replace)
            return None
        except errors.PromptNotReadError as cause:
            return _Failure(_not_run(cause), again=True, unsent=True)
        except errors.NotRunError as cause:
            self._troubles.note_refusal(job, place, cause)
            return _Failure(_not_run(cause), again=True)
        except errors.OwnFailureError as cause:
            sound = False
            return self._take_own_failure(job, place, relay, cause)
        except exchanges.NotSentError as cause:
            sound = False
            self._troubles.note_failure(job, place.decode, cause)
            return _Failure(_not_run(cause), again=True)
        except exchanges.InterruptedCallError:
            raise
        except (
            exchanges.EndpointError,
            errors.BrokenStreamError,
            errors.ForeignAnswerError,
        ) as cause:
            sound = False
            return self._take_break(job, place, relay, cause)
        finally:
            self._placer.finish(place, sound)

    def _send(
        self,
        job: jobs.Job,
        place: placers.Place,
        relay: relays.Relay,
        may_replace: bool,
    ) -> None:
        if relay.handle is not None and not relay.handle.is_fresh:
            relay.handle = None
        if place.prefill is not None and relay.cutter.last_id is None:
            relay.handle = self._prefiller.read(job, place, place.prefill)
            relay.prefilled_ms = job.elapsed_ms
            if relay.handle is None and may_replace:
                self._ask_for_another_place(job)
        refused = False
        try:
            self._decoder.run(job, place, relay)
        except errors.NotRunError:
            refused = True
            raise
        finally:
            if not refused:
                self._prefiller.drop(relay)

    def _ask_for_another_place(self, job: jobs.Job) -> None:
        """Keeps a long prompt from pausing its decode engine's streams.

        :raises PromptNotReadError: if the prompt is long and may be sent
            to another prefill engine
        """
        if (job.call.prompt_tokens or 0) < REPLACE_MIN_TOKENS:
            return
        if self._budgets.take(job.service):
            raise errors.PromptNotReadError('prompt not read')

    def _take_own_failure(
        self,
        job: jobs.Job,
        place: placers.Place,
        relay: relays.Relay,
        cause: errors.OwnFailureError,
    ) -> _Failure | None:
        """Passes an engine's own failure on, unless a stream has begun."""
        self._troubles.log(job, place, 'engine failed it', cause)
        if relay.started:
            refusal = ports.Refusal(ports.Reason.UNKNOWN, str(cause))
            return _Failure(refusal, again=True)
        job.reply.send(cause.status, cause.headers, cause.body)
        return None

    def _take_break(
        self,
        job: jobs.Job,
        place: placers.Place,
        relay: relays.Relay,
        cause: Exception,
    ) -> _Failure:
        """Decides whether a broken stream goes on, and where."""
        self._troubles.note_failure(job, place.decode, cause)
        if _kept_prompt(cause) and not relay.broken:
            relay.keeper = place.decode.endpoint_id
            job.tried.discard(relay.keeper)
        relay.broken = True
        if job.remaining_ms <= 0:
            refusal = ports.Refusal(ports.Reason.TIMED_OUT, str(cause))
            return _Failure(refusal, again=False)
        refusal = ports.Refusal(ports.Reason.UNKNOWN, str(cause))
        return _Failure(refusal, again=job.route.resumable)

    def _end(
        self, job: jobs.Job, relay: relays.Relay, refusal: ports.Refusal | None
    ) -> ports.Refusal | None:
        if not relay.started:
            return refusal
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

    def _place(
        self, job: jobs.Job, relay: relays.Relay, charged: bool
    ) -> placers.Place | messages.Refused:
        request = self._make_request(job, relay, charged)
        relay.keeper = ''
        placed = self._placer.place(request, job.interrupt)
        relay.placed_ms = job.elapsed_ms
        return placed

    def _make_request(
        self, job: jobs.Job, relay: relays.Relay, charged: bool
    ) -> messages.Admit:
        call = job.call
        workspace = job.workspace
        return messages.Admit(
            host=self._host,
            number=next(self._numbers),
            service=job.service,
            workspace=workspace.name if workspace else '',
            cost=float(workspace.cost(call.tokens)) if workspace else 0.0,
            prompt_tokens=call.prompt_tokens or 0,
            output_tokens=tickets.expected_output(
                call.hint_tokens, call.limit_tokens or 0
            ),
            priority=job.priority,
            urgent_ms=max(0, int(job.route.target_ms - job.elapsed_ms)),
            wait_ms=self._wait_ms(job, charged),
            late_wait_ms=self._late_wait_ms(job),
            prompt_key=call.prompt_key,
            avoid=sorted(job.tried),
            prefer=relay.keeper,
            prefilled=relay.handle is not None and relay.handle.is_fresh,
            charged=charged,
            pause_ms=job.route.gap_ms or tickets.DEFAULT_PAUSE_MS,
        )

    def _wait_ms(self, job: jobs.Job, charged: bool) -> int:
        wait_ms = int(job.route.target_ms * WAIT_SHARE - job.elapsed_ms)
        if charged:
            wait_ms = max(wait_ms, RETURN_MS)
        return max(0, min(wait_ms, job.remaining_ms))

    def _late_wait_ms(self, job: jobs.Job) -> int:
        left_ms = min(
            job.remaining_ms, job.route.patience_ms - int(job.elapsed_ms)
        )
        return max(0, min(LATE_WAIT_MS, left_ms - LATE_RESERVE_MS))


def _not_run(cause: Exception) -> ports.Refusal:
    return ports.Refusal(ports.Reason.NOT_RUN, str(cause), RETURN_MS)


def _kept_prompt(cause: Exception) -> bool:
    """Whether the engine seems to run on, so that it keeps the prompt."""
    return isinstance(cause, exchanges.EndpointError)


def _refusal_of(refused: messages.Refused) -> ports.Refusal:
    reason = ports.Reason.NOT_RUN
    if refused.over_rate:
        reason = ports.Reason.OVER_RATE
    return ports.Refusal(reason, refused.reason, refused.retry_after_ms)
