"""A stand-in for a model engine; see docs/ENGINE-API.md."""

from http import client
import threading

from masticquay_scheduling import prefixes
from masticquay_standins import answers
from masticquay_standins import batches
from masticquay_standins import caches
from masticquay_standins import faults
from masticquay_standins import journals
from masticquay_standins import links
from masticquay_standins import memories
from masticquay_standins import orders
from masticquay_standins import prefills
from masticquay_standins import servers
from masticquay_standins import streams

IMPORT_TIMEOUT_S = 5
READ_BYTES = 256 * 1024
CROSSED_TOKENS = 4


class EngineSettings:
    """What an engine can do.

    :param step_ms: the time between tokens
    :param prefill_token_us: computing time of a prompt token
    :param kept_ms: how long a prefill result is kept
    :param orderer: the only orderer obeyed, empty for any
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
    """An engine with continuous batching and KV memory in pieces."""

    def __init__(self, journal: journals.Journal, settings: EngineSettings):
        self.journal = journal
        self.faults = faults.Faults()
        self._settings = settings
        self._memory = memories.Memory(
            journal, settings.pieces, settings.piece_tokens
        )
        self._cache = caches.PrefixCache(
            settings.cache_blocks,
            settings.event_lag_ms,
            settings.event_lost_share,
            settings.seed,
        )
        self._prefills = prefills.Prefills(
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
        self._orders = orders.OrderBook(
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
        self._seen_attempts: dict[str, int] = {}
        self._cancelled: dict[str, int] = {}
        self._load = (0.0, {})
        self._batch.start()

    def close(self) -> None:
        """Ends the batch loop."""
        self._batch.close()

    def serve(
        self, request: servers.Request
    ) -> servers.Response | servers.Writer:
        """Answers one request."""
        path = request.path
        if path == '/v1/load':
            return self._read_load()
        if path == '/v1/cache-events':
            after = int(request.query.get('after', 0))
            latest, events = self._cache.events(after)
            return servers.reply(200, {'latest': latest, 'events': events})
        if path.startswith('/v1/kv/'):
            return self._export(path.removeprefix('/v1/kv/'))
        if path == '/v1/orders':
            return self._orders.take(request.fields())
        if path.startswith('/v1/orders/'):
            return self._orders.state(path.removeprefix('/v1/orders/'))
        calls = {
            '/v1/prefill': self._prefill,
            '/v1/decode': self._decode,
            '/v1/resume': self._resume,
            '/v1/cancel': self._cancel,
        }
        call = calls.get(path)
        if call is None:
            return servers.fail(404, 'unknown-path')
        try:
            return call(request.fields())
        except (KeyError, TypeError, ValueError) as cause:
            return servers.fail(400, 'bad-request', repr(cause))

    def _refuse(self, fields: dict, role: str) -> servers.Response | None:
        """Returns a refusal for another model or role, or a cancelled id."""
        if fields['model'] != self._orders.model:
            return servers.fail(404, 'unknown-model')
        if role not in self._orders.roles:
            return servers.fail(404, 'wrong-role')
        request_id, attempt = fields['request_id'], int(fields['attempt'])
        with self._lock:
            if attempt <= self._cancelled.get(request_id, -1):
                return servers.fail(409, 'cancelled')
            seen = self._seen_attempts.get(request_id, 0)
            self._seen_attempts[request_id] = max(seen, attempt)
        return None

    def _is_cancelled(self, request_id: str, attempt: int) -> bool:
        with self._lock:
            return attempt <= self._cancelled.get(request_id, -1)

    def _prefill(self, fields: dict) -> servers.Response:
        refusal = self._refuse(fields, 'prefill')
        if refusal is not None:
            return refusal
        request_id, attempt = fields['request_id'], int(fields['attempt'])
        done = self._prefills.run(
            request_id,
            attempt,
            fields['prompt'].encode(),
            int(fields.get('priority', 0)),
        )
        if done is None:
            return servers.fail(429, 'full')
        if self._is_cancelled(request_id, attempt):
            self._prefills.release(done.handle, 'cancelled')
            return servers.fail(409, 'cancelled')
        return servers.reply(
            200,
            {
                'request_id': request_id,
                'attempt': attempt,
                'handle': done.handle,
                'prompt_tokens': done.tokens,
                'cached_tokens': done.cached_tokens,
                'expires_ms': self._settings.kept_ms,
            },
        )

    def _export(self, handle: str) -> servers.Response | servers.Writer:
        done = self._prefills.find(handle)
        if done is None:
            return servers.fail(404, 'handle-gone')

        def end(sent: bool) -> None:
            if sent:
                self._prefills.release(handle, 'exported')

        size_bytes = done.tokens * self._settings.kv_bytes_per_token
        return links.LinkWriter(self._link, size_bytes, self.faults, end)

    def _decode(self, fields: dict) -> servers.Response | servers.Writer:
        refusal = self._refuse(fields, 'decode')
        if refusal is not None:
            return refusal
        request_id, attempt = fields['request_id'], int(fields['attempt'])
        prompt = fields['prompt']
        answer = answers.make_answer(prompt, int(fields['max_tokens']))
        if not self._batch.reserve():
            return servers.fail(429, 'no-slot')
        tokens = prefixes.count_tokens(prompt.encode()) + answer.length_tokens
        hold = self._memory.hold(
            request_id,
            answers.read_id(prompt),
            memories.STAGE_DECODE,
            tokens,
        )
        if hold is None:
            self._batch.unreserve()
            return servers.fail(429, 'no-pieces')
        failure = self._import(fields)
        if failure is None and self._is_cancelled(request_id, attempt):
            failure = servers.fail(409, 'cancelled')
        if failure is not None:
            hold.release('not-imported')
            self._batch.unreserve()
            return failure
        return self._run(fields, answer, hold)

    def _run(
        self, fields: dict, answer: answers.Answer, hold: memories.Hold
    ) -> servers.Writer:
        request_id, attempt = fields['request_id'], int(fields['attempt'])
        first_index = int(fields.get('first_index') or 0)
        output_so_far = fields.get('output_so_far') or ''
        consistent = output_so_far == answer.text(first_index)
        if not consistent:
            answer = answers.Answer(
                answer.seed ^ 1, answer.length_tokens, answer.finish_reason
            )
        self.journal.add(
            journals.EVENT_DECODE,
            request_id=request_id,
            attempt=attempt,
            prompt_id=answers.read_id(fields['prompt']),
            max_tokens=int(fields['max_tokens']),
            first_index=first_index,
            consistent=consistent,
        )
        sequence = batches.Sequence(
            request_id, attempt, answer, first_index, hold
        )
        stream = sequence.stream
        if self.faults.take('crossed'):
            stream = _answer_of_another(answer)
        self._batch.add(sequence)
        if self._is_cancelled(request_id, attempt):
            self._batch.cancel(request_id)
        return stream

    def _import(self, fields: dict) -> servers.Response | None:
        handle = fields.get('handle') or ''
        if not handle:
            self._prefills.compute(
                fields['prompt'].encode(), int(fields.get('priority', 0))
            )
            return None
        connection = client.HTTPConnection(
            fields['source'], timeout=IMPORT_TIMEOUT_S
        )
        try:
            connection.request('GET', f'/v1/kv/{handle}')
            response = connection.getresponse()
            if response.status != 200:
                return servers.fail(409, 'handle-gone')
            while response.read(READ_BYTES):
                continue
        except (OSError, client.HTTPException):
            return servers.fail(409, 'handle-gone')
        finally:
            connection.close()
        return None

    def _resume(self, fields: dict) -> servers.Response | servers.Writer:
        stream = self._batch.resume(
            fields['request_id'],
            int(fields['attempt']),
            int(fields['first_index']),
        )
        if stream is None:
            return servers.fail(404, 'not-running')
        return stream

    def _cancel(self, fields: dict) -> servers.Response:
        request_id = fields['request_id']
        with self._lock:
            seen = self._seen_attempts.get(request_id, 0)
            highest = max(seen, int(fields.get('attempt', 1)))
            before = self._cancelled.get(request_id, -1)
            self._cancelled[request_id] = max(before, highest)
        count = self._batch.cancel(request_id)
        count += self._prefills.cancel(request_id)
        self.journal.add(
            journals.EVENT_CANCEL, request_id=request_id, count=count
        )
        return servers.reply(200, {'cancelled': count})

    def _read_load(self) -> servers.Response:
        now_ms = journals.now_ms()
        with self._lock:
            read_ms, load = self._load
        if not load or now_ms - read_ms > self._settings.load_lag_ms:
            read_ms = now_ms
            load = {
                'incarnation': self._incarnation,
                'slots': self._settings.slots,
                'slots_used': self._batch.used,
                'pieces': self._settings.pieces,
                'pieces_used': self._memory.used,
                'queued': self._prefills.queued,
                'version': self._orders.version,
                'model': self._orders.model,
                'roles': self._orders.roles,
            }
            with self._lock:
                self._load = (read_ms, load)
        return servers.reply(200, {**load, 'age_ms': int(now_ms - read_ms)})


def _answer_of_another(answer: answers.Answer) -> streams.EventStream:
    """Makes a short stream that belongs to no request of this engine."""
    stream = streams.EventStream('another-request', 1)
    other = answers.Answer(answer.seed ^ 2, CROSSED_TOKENS, 'stop')
    for index in range(CROSSED_TOKENS):
        stream.push({'index': index, 'text': other.token(index)})
    stream.push({'index': CROSSED_TOKENS, 'finish_reason': 'stop'})
    stream.finish()
    return stream
