"""Callers: fetch the host list, send requests and record the responses."""

import http.client
import json
import random
import socket
import threading
import time
import typing

from masticquay_bench import calls
from masticquay_bench import whole_answers
from masticquay_scheduling import prefixes
from masticquay_standins import answers
from masticquay_standins import journals

CONNECT_TIMEOUT_S = 2
RESPONSE_TIMEOUT_S = 70
MAX_CONNECT_ATTEMPTS = 4
OUTCOME_HEADER = 'Masticquay-Outcome'


class HostList:
    """The entry hosts for one key, fetched again when their TTL has passed.

    :param initial_addresses: entry hosts to fetch the list from
    :param seed: seed of the random choices
    """

    __slots__ = (
        '_addresses',
        '_expires_s',
        '_key',
        '_lock',
        '_rng',
        '_initial_addresses',
    )

    def __init__(self, initial_addresses: list[str], key: str, seed: int):
        self._initial_addresses = initial_addresses
        self._key = key
        self._addresses: list[str] = []
        self._lock = threading.Lock()
        self._expires_s = 0.0
        self._rng = random.Random(seed)

    def choose_address(self) -> str:
        """Returns a random address of the list.

        When the list is empty, returns one of the initial addresses.
        """
        with self._lock:
            now_s = time.monotonic()
            if now_s >= self._expires_s:
                self._refresh(now_s)
            return self._rng.choice(self._addresses or self._initial_addresses)

    def remove(self, address: str) -> None:
        """Removes an address that did not answer, until the next refresh."""
        with self._lock:
            if address in self._addresses:
                self._addresses.remove(address)

    def _refresh(self, now_s: float) -> None:
        """Fetches the list from the first initial address that answers."""
        initial_addresses = list(self._initial_addresses)
        self._rng.shuffle(initial_addresses)
        for address in initial_addresses:
            addresses, ttl_s = _fetch_hosts(address, self._key)
            if addresses:
                self._addresses = addresses
                self._expires_s = now_s + ttl_s
                return


def _fetch_hosts(address: str, key: str) -> tuple[list[str], float]:
    """Fetches the host list; returns its addresses and TTL in seconds.

    Returns an empty list and 0 when the fetch fails.
    """
    connection = http.client.HTTPConnection(address, timeout=CONNECT_TIMEOUT_S)
    try:
        headers = {'Authorization': f'Bearer {key}'} if key else {}
        connection.request('GET', '/v1/hosts', headers=headers)
        response = connection.getresponse()
        body = json.loads(response.read())
        addresses = [host['address'] for host in body['hosts']]
        return addresses, body['ttl_ms'] / 1000
    except (OSError, http.client.HTTPException, ValueError, KeyError):
        return [], 0.0
    finally:
        connection.close()


class Caller:
    """Sends calls of one workspace with one of its keys.

    :param initial_addresses: entry hosts to fetch the host list from
    :param may_run: whether the key authorizes the calls
    """

    def __init__(
        self,
        log: calls.CallLog,
        initial_addresses: list[str],
        workspace: str,
        key: str,
        key_number: int = 0,
        seed: int = 0,
        may_run: bool = True,
    ):
        self._log = log
        self._hosts = HostList(initial_addresses, key, seed)
        self._workspace = workspace
        self._key = key
        self._key_number = key_number
        self._may_run = may_run

    def complete(
        self,
        call_id: str,
        model: str,
        prompt_prefix: str = '',
        tokens: int = 16,
        max_tokens: int = 512,
        class_name: str = 'standard',
        due_ms: float = 0.0,
        host: str = '',
        cancel_after_tokens: int = 0,
        on_token: typing.Callable[[calls.Call], None] | None = None,
    ) -> calls.Call:
        """Requests a streamed completion and returns its record.

        :param prompt_prefix: the start of the prompt, before the markers that
            stand-ins read
        :param tokens: how many tokens the stand-in answers with
        :param due_ms: when the call was due; 0 means now
        :param host: the entry host to use instead of one from the host list
        :param cancel_after_tokens: closes the connection after this many
            tokens; 0 reads to the end
        :param on_token: called when tokens have arrived
        """
        prompt = f'{prompt_prefix} [[id={call_id}]][[tokens={tokens}]]'
        call = self._begin(call_id, calls.KIND_COMPLETION, due_ms)
        call.path = '/v1/completions'
        call.class_name = class_name
        call.prompt_tokens = prefixes.count_tokens(prompt.encode())
        call.max_tokens = max_tokens
        call.expected_text = answers.make_answer(prompt, max_tokens).text()
        body = {
            'model': model,
            'prompt': prompt,
            'max_tokens': max_tokens,
            'stream': True,
        }
        headers = {
            'Content-Type': 'application/json',
            'Masticquay-Class': class_name,
        }
        reader = _EventStreamReader(call, cancel_after_tokens, on_token)
        data = json.dumps(body).encode()
        self._send(call, 'POST', call.path, headers, data, reader.read, host)
        return call

    def request(
        self,
        call_id: str,
        method: str,
        path: str,
        body: bytes = b'',
        idempotency_key: str = '',
        idempotent: bool = True,
        due_ms: float = 0.0,
        host: str = '',
        stable_body: bool = False,
    ) -> calls.Call:
        """Sends a request to a plain service and returns its record.

        :param due_ms: when the call was due; 0 means now
        :param host: the entry host to use instead of one from the host list
        :param stable_body: marks the body with the idempotency key instead
            of the call id, so that a resubmission has the same body
        """
        call = self._begin(call_id, calls.KIND_SERVICE, due_ms)
        call.path = path
        call.class_name = 'prompt'
        call.idempotency_key = idempotency_key
        call.idempotent = idempotent
        headers = {'Content-Type': 'text/plain'}
        if idempotency_key:
            headers['Idempotency-Key'] = idempotency_key
        marker = idempotency_key if stable_body else call_id
        data = body + f' [[id={marker}]]'.encode() if body else b''
        self._send(call, method, path, headers, data, _read_body, host)
        return call

    def _begin(self, call_id: str, kind: str, due_ms: float) -> calls.Call:
        """Returns the record of a new call, which is in the log already."""
        call = calls.Call(call_id, kind, self._workspace)
        call.key_number = self._key_number
        call.may_run = self._may_run
        call.due_ms = due_ms or journals.now_ms()
        self._log.add(call)
        return call

    def _send(
        self,
        call: calls.Call,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        read: typing.Callable,
        host: str,
    ) -> None:
        """Sends a request and records how the call ended.

        :param read: reads the response into the call if it is no error
        """
        if self._key:
            headers['Authorization'] = f'Bearer {self._key}'
        connection = self._connect(call, host)
        if connection is None:
            call.end = calls.END_NOT_CONNECTED
            call.end_ms = journals.now_ms()
            return
        call.sent_ms = journals.now_ms()
        try:
            connection.request(method, path, body or None, headers)
            response = connection.getresponse()
            whole_answers.require_length(response)
            call.status = response.status
            call.outcome = response.headers.get(OUTCOME_HEADER, '')
            call.retry_after_s = response.headers.get('Retry-After', '')
            if response.status >= 400:
                _read_error(call, response.read())
            else:
                read(call, response)
        except (OSError, http.client.HTTPException) as cause:
            call.end = calls.END_BROKEN
            call.detail = repr(cause)
        finally:
            connection.close()
            call.end_ms = journals.now_ms()

    def _connect(
        self, call: calls.Call, host: str
    ) -> http.client.HTTPConnection | None:
        """Connects to a host of the list; tries others when that fails.

        :returns: None after ``MAX_CONNECT_ATTEMPTS`` failures
        """
        for _ in range(MAX_CONNECT_ATTEMPTS):
            call.host = host or self._hosts.choose_address()
            connection = http.client.HTTPConnection(
                call.host, timeout=CONNECT_TIMEOUT_S
            )
            try:
                connection.connect()
            except OSError as cause:
                call.detail = repr(cause)
                self._hosts.remove(call.host)
                continue
            connection.sock.settimeout(RESPONSE_TIMEOUT_S)
            connection.sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
            )
            call.detail = ''
            return connection
        return None


def _read_error(call: calls.Call, data: bytes) -> None:
    """Records an error response; a refusal if it has the router's format."""
    call.end = calls.END_REFUSED
    try:
        error = json.loads(data)['error']
        call.error_code = str(error.get('code') or error.get('type') or '')
        call.detail = str(error.get('message', ''))
    except (ValueError, KeyError, TypeError, AttributeError):
        call.end = calls.END_ERROR
        call.detail = data[:200].decode('utf-8', 'replace')


def _read_body(call: calls.Call, response: typing.Any) -> None:
    call.text = response.read().decode('utf-8', 'replace')
    call.first_token_ms = journals.now_ms()
    call.end = calls.END_OK


class _EventStreamReader:
    """Reads a stream of server-sent events into the record of a call."""

    __slots__ = (
        '_call',
        '_cancel_after_tokens',
        '_on_token',
        '_token_gaps_ms',
        '_last_token_ms',
    )

    def __init__(
        self,
        call: calls.Call,
        cancel_after_tokens: int,
        on_token: typing.Callable[[calls.Call], None] | None,
    ):
        self._call = call
        self._cancel_after_tokens = cancel_after_tokens
        self._on_token = on_token
        self._token_gaps_ms: list[float] = []
        self._last_token_ms = 0.0

    def read(self, call: calls.Call, response: typing.Any) -> None:
        """Reads until the end marker, an error, or the intended cancel."""
        call.end = calls.END_BROKEN
        parts: list[str] = []
        try:
            for line in response:
                if line.startswith(b'data:') and self._handle_event(
                    line[5:], parts
                ):
                    break
        finally:
            call.text = ''.join(parts)
            if self._token_gaps_ms:
                self._token_gaps_ms.sort()
                rank = int(0.95 * (len(self._token_gaps_ms) - 1))
                call.gap_p95_ms = self._token_gaps_ms[rank]

    def _handle_event(self, data: bytes, parts: list[str]) -> bool:
        """Records an event; returns True when it ends the stream."""
        call = self._call
        data = data.strip()
        if data == b'[DONE]':
            call.end = calls.END_OK
            return True
        event = json.loads(data)
        if 'error' in event:
            error = event['error']
            call.end = calls.END_ERROR
            call.error_code = str(error.get('code', ''))
            call.detail = str(error.get('message', ''))
            call.outcome = str(error.get('outcome', '')) or call.outcome
            return True
        for choice in event.get('choices', []):
            text = choice.get('text') or ''
            if text:
                parts.append(text)
                self._record_tokens(len(text) // answers.TOKEN_CHARACTERS)
            if choice.get('finish_reason'):
                call.finish_count += 1
        if (
            self._cancel_after_tokens
            and call.output_tokens >= self._cancel_after_tokens
        ):
            call.end = calls.END_CANCELLED
            return True
        return False

    def _record_tokens(self, count: int) -> None:
        """Records the arrival of tokens and the gap since the last ones."""
        call = self._call
        now_ms = journals.now_ms()
        if not call.first_token_ms:
            call.first_token_ms = now_ms
        else:
            self._token_gaps_ms.append(now_ms - self._last_token_ms)
        self._last_token_ms = now_ms
        call.output_tokens += count
        if self._on_token is not None:
            self._on_token(call)
