"""Stand-in for a model engine, with the API of docs/ENGINE-API.md."""

from http import client
import threading

from masticquay_scheduling import prefixes
from masticquay_standins import answers
from masticquay_standins import batches
from masticquay_standins import caches
from masticquay_standins import faults
from masticquay_standins import journals
from masticquay_standins import kv_memories
from masticquay_standins import links
from masticquay_standins import orders
from masticquay_standins import prefills
from masticquay_standins import servers
from masticquay_standins import streams

KV_IMPORT_TIMEOUT_S = 5
READ_CHUNK_BYTES = 256 * 1024
# Length of the stream that the ``crossed`` fault sends.
CROSSED_ANSWER_TOKENS = 4


class EngineSettings:
    """The options of an engine stand-in.

    :param slots: the maximum number of sequences in the batch
    :param pieces: the size of the KV memory in pieces
    :param piece_tokens: the number of tokens that fit into a piece
    :param step_ms: the time between tokens
    :param prefill_token_us: the computing time of a prompt token that is not
        cached
    :param kept_ms: the time after which a prefill result is evicted
    :param cache_blocks: the capacity of the prefix cache
    :param event_lag_ms: the time after which a cache event becomes visible
    :param event_lost_share: the share of cache events that are never
        published, from 0 to 1
    :param load_lag_ms: the maximum age of the published load
    :param link_bytes_per_s: the rate that all KV cache exports share
    :param kv_bytes_per_token: the size of an exported KV cache per token
    :param model: the model, until an order changes it
    :param version: the model version, until an order changes it
    :param roles: the roles, until an order changes them
    :param checks_fencing: whether orders with a stale fencing number are
        refused
    :param orderer: the only sender whose orders are accepted, empty for any
    :param seed: selects which cache events are never published
    """

    __slots__ = (
        'slots',
        'pieces',
        'piece_tokens',
        'step_ms',
        'prefill_token_us',
        'kept_ms',
        'cache_blocks',
        'event_lag_ms',
        'event_lost_share',
        'load_lag_ms',
        'link_bytes_per_s',
        'kv_bytes_per_token',
        'model',
        'version',
        'roles',
        'checks_fencing',
        'orderer',
        'seed',
    )

    def __init__(
        self,
        slots: int = 20,
        pieces: int = 4_000,
        piece_tokens: int = 16,
        step_ms: float = 20,
        prefill_token_us: float = 100,
        kept_ms: int = 800,
        cache_blocks: int = 2_000,
        event_lag_ms: int = 200,
        event_lost_share: float = 0.05,
        load_lag_ms: int = 200,
        link_bytes_per_s: int = 50_000_000,
        kv_bytes_per_token: int = 64,
        model: str = 'style-guide',
        version: str = '1',
        roles: tuple[str, ...] = ('prefill', 'decode'),
        checks_fencing: bool = True,
        orderer: str = '',
        seed: int = 0,
    ):
        self.slots = slots
        self.pieces = pieces
        self.piece_tokens = piece_tokens
        self.step_ms = step_ms
        self.prefill_token_us = prefill_token_us
        self.kept_ms = kept_ms
        self.cache_blocks = cache_blocks
        self.event_lag_ms = event_lag_ms
        self.event_lost_share = event_lost_share
        self.load_lag_ms = load_lag_ms
        self.link_bytes_per_s = link_bytes_per_s
        self.kv_bytes_per_token = kv_bytes_per_token
        self.model = model
        self.version = version
        self.roles = roles
        self.checks_fencing = checks_fencing
        self.orderer = orderer
        self.seed = seed


class Engine:
    """An engine with continuous batching and limited KV memory."""

    def __init__(self, journal: journals.Journal, settings: EngineSettings):
        self.journal = journal
        self.faults = faults.Faults()
        self._settings = settings
        self._memory = kv_memories.KvMemory(
            journal, settings.pieces, settings.piece_tokens
        )
        self._cache = caches.PrefixCache(
            settings.cache_blocks,
            settings.event_lag_ms,
            settings.event_lost_share,
            settings.seed,
        )
        self._prefills = prefills.PrefillRunner(
            journal,
            self.faults,
            self._memory,
            self._cache,
            settings.prefill_token_us,
            settings.kept_ms,
        )
        self._batch = batches.Batch(
            journal, self.faults, settings.slots, settings.step_ms
        )
        self._orders = orders.OrderExecutor(
            journal,
            settings.checks_fencing,
            settings.orderer,
            settings.model,
            settings.version,
            list(settings.roles),
        )
        self._link = links.Link(settings.link_bytes_per_s)
        self._incarnation = int(journals.now_ms())
        self._lock = threading.Lock()
        # The highest attempt seen and the highest one cancelled, by the id of
        # the request.
        self._seen_attempts: dict[str, int] = {}
        self._cancelled_attempts: dict[str, int] = {}
        # The time of the sample and the load.
        self._load_sample = (0.0, {})
        self._batch.start()

    def close(self) -> None:
        """Stops the batch loop."""
        self._batch.close()

    def serve(
        self, request: servers.Request
    ) -> servers.Response | servers.ResponseWriter:
        """Calls the handler of the path and returns its response."""
        path = request.path
        if path == '/v1/load':
            return self._read_load()
        if path == '/v1/cache-events':
            after = int(request.query.get('after', 0))
            latest, events = self._cache.read_events(after)
            return servers.json_response(
                200, {'latest': latest, 'events': events}
            )
        if path.startswith('/v1/kv/'):
            return self._export_kv(path.removeprefix('/v1/kv/'))
        if path == '/v1/orders':
            return self._orders.submit(request.json_fields())
        if path.startswith('/v1/orders/'):
            return self._orders.get_state(path.removeprefix('/v1/orders/'))
        handlers = {
            '/v1/prefill': self._prefill,
            '/v1/decode': self._decode,
            '/v1/resume': self._resume,
            '/v1/cancel': self._cancel,
        }
        handler = handlers.get(path)
        if handler is None:
            return servers.error_response(404, 'unknown-path')
        try:
            return handler(request.json_fields())
        except (KeyError, TypeError, ValueError) as cause:
            return servers.error_response(400, 'bad-request', repr(cause))

    def _check_request(
        self, fields: dict, role: str
    ) -> servers.Response | None:
        """Checks the model, the role and whether the attempt is cancelled.

        Remembers an accepted attempt, so that ``_cancel`` covers it.

        :returns: the error response, None if the request is accepted
        """
        if fields['model'] != self._orders.model:
            return servers.error_response(404, 'unknown-model')
        if role not in self._orders.roles:
            return servers.error_response(404, 'wrong-role')
        request_id, attempt = fields['request_id'], int(fields['attempt'])
        with self._lock:
            if attempt <= self._cancelled_attempts.get(request_id, -1):
                return servers.error_response(409, 'cancelled')
            seen_attempt = self._seen_attempts.get(request_id, 0)
            self._seen_attempts[request_id] = max(seen_attempt, attempt)
        return None

    def _is_cancelled(self, request_id: str, attempt: int) -> bool:
        with self._lock:
            return attempt <= self._cancelled_attempts.get(request_id, -1)

    def _prefill(self, fields: dict) -> servers.Response:
        refusal = self._check_request(fields, 'prefill')
        if refusal is not None:
            return refusal
        request_id, attempt = fields['request_id'], int(fields['attempt'])
        result = self._prefills.run(
            request_id,
            attempt,
            fields['prompt'].encode(),
            int(fields.get('priority', 0)),
        )
        if result is None:
            return servers.error_response(429, 'full')
        if self._is_cancelled(request_id, attempt):
            self._prefills.release(result.handle, 'cancelled')
            return servers.error_response(409, 'cancelled')
        return servers.json_response(
            200,
            {
                'request_id': request_id,
                'attempt': attempt,
                'handle': result.handle,
                'prompt_tokens': result.tokens,
                'cached_tokens': result.cached_tokens,
                'expires_ms': self._settings.kept_ms,
            },
        )

    def _export_kv(
        self, handle: str
    ) -> servers.Response | servers.ResponseWriter:
        """Returns a response with a KV cache, dropped once it is all sent."""
        result = self._prefills.find(handle)
        if result is None:
            return servers.error_response(404, 'handle-gone')

        def release_if_sent(sent: bool) -> None:
            if sent:
                self._prefills.release(handle, 'exported')

        size_bytes = result.tokens * self._settings.kv_bytes_per_token
        return links.RateLimitedWriter(
            self._link, size_bytes, self.faults, release_if_sent
        )

    def _decode(
        self, fields: dict
    ) -> servers.Response | servers.ResponseWriter:
        refusal = self._check_request(fields, 'decode')
        if refusal is not None:
            return refusal
        request_id, attempt = fields['request_id'], int(fields['attempt'])
        prompt = fields['prompt']
        answer = answers.make_answer(prompt, int(fields['max_tokens']))
        if not self._batch.reserve_slot():
            return servers.error_response(429, 'no-slot')
        tokens = prefixes.count_tokens(prompt.encode()) + answer.length_tokens
        allocation = self._memory.allocate(
            request_id,
            answers.read_prompt_id(prompt),
            kv_memories.STAGE_DECODE,
            tokens,
        )
        if allocation is None:
            self._batch.cancel_reservation()
            return servers.error_response(429, 'no-pieces')
        error = self._import_kv(fields)
        if error is None and self._is_cancelled(request_id, attempt):
            error = servers.error_response(409, 'cancelled')
        if error is not None:
            allocation.release('not-imported')
            self._batch.cancel_reservation()
            return error
        return self._start_decode(fields, answer, allocation)

    def _start_decode(
        self,
        fields: dict,
        answer: answers.Answer,
        allocation: kv_memories.Allocation,
    ) -> servers.ResponseWriter:
        request_id, attempt = fields['request_id'], int(fields['attempt'])
        first_index = int(fields.get('first_index') or 0)
        output_so_far = fields.get('output_so_far') or ''
        is_consistent = output_so_far == answer.text(first_index)
        if not is_consistent:
            # Generates another text, so that a checker of the answer notices
            # the wrong output_so_far.
            answer = answers.Answer(
                answer.seed ^ 1, answer.length_tokens, answer.finish_reason
            )
        self.journal.add(
            journals.EVENT_DECODE,
            request_id=request_id,
            attempt=attempt,
            prompt_id=answers.read_prompt_id(fields['prompt']),
            max_tokens=int(fields['max_tokens']),
            first_index=first_index,
            consistent=is_consistent,
        )
        sequence = batches.Sequence(
            request_id, attempt, answer, first_index, allocation
        )
        stream = sequence.stream
        if self.faults.consume('crossed'):
            stream = _make_crossed_stream(answer)
        self._batch.add(sequence)
        # A cancellation that arrived before the sequence joined the batch
        # did not remove it.
        if self._is_cancelled(request_id, attempt):
            self._batch.cancel(request_id)
        return stream

    def _import_kv(self, fields: dict) -> servers.Response | None:
        """Fetches the KV cache of a prompt, or computes it without a handle.

        :returns: the error response, None if the KV cache is available
        """
        handle = fields.get('handle') or ''
        if not handle:
            self._prefills.compute(
                fields['prompt'].encode(), int(fields.get('priority', 0))
            )
            return None
        connection = client.HTTPConnection(
            fields['source'], timeout=KV_IMPORT_TIMEOUT_S
        )
        try:
            connection.request('GET', f'/v1/kv/{handle}')
            response = connection.getresponse()
            if response.status != 200:
                return servers.error_response(409, 'handle-gone')
            while response.read(READ_CHUNK_BYTES):
                continue
        except (OSError, client.HTTPException):
            return servers.error_response(409, 'handle-gone')
        finally:
            connection.close()
        return None

    def _resume(
        self, fields: dict
    ) -> servers.Response | servers.ResponseWriter:
        stream = self._batch.resume(
            fields['request_id'],
            int(fields['attempt']),
            int(fields['first_index']),
        )
        if stream is None:
            return servers.error_response(404, 'not-running')
        return stream

    def _cancel(self, fields: dict) -> servers.Response:
        request_id = fields['request_id']
        with self._lock:
            seen_attempt = self._seen_attempts.get(request_id, 0)
            last_attempt = max(seen_attempt, int(fields.get('attempt', 1)))
            cancelled_attempt = self._cancelled_attempts.get(request_id, -1)
            self._cancelled_attempts[request_id] = max(
                cancelled_attempt, last_attempt
            )
        count = self._batch.cancel(request_id)
        count += self._prefills.cancel(request_id)
        self.journal.add(
            journals.EVENT_CANCEL, request_id=request_id, count=count
        )
        return servers.json_response(200, {'cancelled': count})

    def _read_load(self) -> servers.Response:
        """Returns the load, sampled at most ``load_lag_ms`` ago."""
        now_ms = journals.now_ms()
        with self._lock:
            sampled_ms, load = self._load_sample
        if not load or now_ms - sampled_ms > self._settings.load_lag_ms:
            sampled_ms = now_ms
            load = {
                'incarnation': self._incarnation,
                'slots': self._settings.slots,
                'slots_used': self._batch.used_slots,
                'pieces': self._settings.pieces,
                'pieces_used': self._memory.used_pieces,
                'queued': self._prefills.queue_length,
                'version': self._orders.version,
                'model': self._orders.model,
                'roles': self._orders.roles,
            }
            with self._lock:
                self._load_sample = (sampled_ms, load)
        return servers.json_response(
            200, {**load, 'age_ms': int(now_ms - sampled_ms)}
        )


def _make_crossed_stream(answer: answers.Answer) -> streams.EventStream:
    """Returns a short, finished stream with the id of another request."""
    stream = streams.EventStream('another-request', 1)
    other = answers.Answer(answer.seed ^ 2, CROSSED_ANSWER_TOKENS, 'stop')
    for index in range(CROSSED_ANSWER_TOKENS):
        stream.push({'index': index, 'text': other.token(index)})
    stream.push({'index': CROSSED_ANSWER_TOKENS, 'finish_reason': 'stop'})
    stream.finish()
    return stream
