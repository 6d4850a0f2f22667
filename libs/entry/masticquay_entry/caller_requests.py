"""Requests of callers, read from the WSGI environment."""

from collections import abc
import hashlib
import typing
from urllib import parse

from masticquay_entry import refusals

IDEMPOTENCY_HEADER = 'Idempotency-Key'
CLASS_HEADER = 'Masticquay-Class'
MAX_IDEMPOTENCY_KEY_CHARS = 255

# Names of query fields that commonly carry API keys.
KEY_QUERY_FIELDS = frozenset(
    [
        'access_token',
        'api-key',
        'api_key',
        'apikey',
        'authorization',
        'bearer',
        'key',
        'token',
        'x-api-key',
    ]
)
# Hop-by-hop headers and headers that carry credentials.
UNFORWARDED_HEADERS = frozenset(
    [
        'AUTHORIZATION',
        'CONNECTION',
        'CONTENT_LENGTH',
        'COOKIE',
        'EXPECT',
        'HOST',
        'KEEP_ALIVE',
        'PROXY_AUTHORIZATION',
        'PROXY_CONNECTION',
        'TE',
        'TRAILER',
        'TRANSFER_ENCODING',
        'UPGRADE',
        'X_API_KEY',
    ]
)

Environ = dict[str, typing.Any]


class CallerRequest:
    """One request, with its key removed from everything that is forwarded.

    :param key_digest: SHA-256 of the key in hex, empty without a key
    :param headers: the headers that may be forwarded
    :param class_name: the service class that the caller asks for, may be empty
    """

    __slots__ = (
        'method',
        'path',
        'query',
        'headers',
        'body',
        'key_digest',
        'idempotency_key',
        'class_name',
    )

    def __init__(
        self,
        method: str,
        path: str,
        query: str,
        headers: list[tuple[str, str]],
        body: bytes,
        key_digest: str,
        idempotency_key: str,
        class_name: str,
    ):
        self.method = method
        self.path = path
        self.query = query
        self.headers = headers
        self.body = body
        self.key_digest = key_digest
        self.idempotency_key = idempotency_key
        self.class_name = class_name


def read_request(
    environ: Environ, known_digests: abc.Container[str]
) -> CallerRequest:
    """Reads a request and separates its key from the rest.

    :param known_digests: digests of the keys of the bundle in force
    :raises Refusal: when credentials are malformed, when a key stands outside
        the two headers that may carry it, or when the idempotency key is too
        long
    """
    key = _read_key(environ)
    query = environ.get('QUERY_STRING', '')
    path = environ['PATH_INFO']
    body = environ['wsgi.input'].read()
    _check_query_for_keys(query, known_digests)
    if key:
        _check_key_absent(key, path, query, body)
    return CallerRequest(
        environ['REQUEST_METHOD'],
        path,
        query,
        _forwarded_headers(environ, key, known_digests),
        body,
        digest_text(key) if key else '',
        _read_idempotency_key(environ),
        environ.get('HTTP_MASTICQUAY_CLASS', ''),
    )


def read_key_digest(environ: Environ) -> str:
    """Returns the digest of a request's key, empty without a valid one."""
    try:
        key = _read_key(environ)
    except refusals.Refusal:
        return ''
    return digest_text(key) if key else ''


def digest_text(text: str) -> str:
    """Returns the digest under which a bundle would list a text as a key."""
    return hashlib.sha256(text.encode('utf-8', 'replace')).hexdigest()


def _read_key(environ: Environ) -> str:
    authorization = environ.get('HTTP_AUTHORIZATION', '')
    scheme, _, bearer = authorization.partition(' ')
    if authorization and scheme.lower() != 'bearer':
        raise refusals.Refusal(
            401, 'unsupported-scheme', 'use Authorization: Bearer KEY'
        )
    bearer = bearer.strip()
    api_key = environ.get('HTTP_X_API_KEY', '').strip()
    if bearer and api_key and bearer != api_key:
        raise refusals.Refusal(401, 'two-keys', 'two different keys')
    return bearer or api_key


def _check_query_for_keys(
    query: str, known_digests: abc.Container[str]
) -> None:
    for name, value in parse.parse_qsl(query, keep_blank_values=True):
        is_key_field = name.lower() in KEY_QUERY_FIELDS
        if is_key_field or digest_text(value) in known_digests:
            raise refusals.bad_request(
                'key-in-query', 'a key may not stand in the query'
            )


def _check_key_absent(key: str, path: str, query: str, body: bytes) -> None:
    if key in path or key in parse.unquote(query) or key.encode() in body:
        raise refusals.bad_request(
            'key-in-request', 'the key may stand in its header only'
        )


def _forwarded_headers(
    environ: Environ, key: str, known_digests: abc.Container[str]
) -> list[tuple[str, str]]:
    dropped = set(UNFORWARDED_HEADERS)
    for name in environ.get('HTTP_CONNECTION', '').split(','):
        dropped.add(name.strip().upper().replace('-', '_'))
    headers = []
    for name, value in environ.items():
        if name == 'CONTENT_TYPE':
            headers.append(('Content-Type', value))
            continue
        if not name.startswith('HTTP_') or name[5:] in dropped:
            continue
        if key and key in value or digest_text(value) in known_digests:
            continue
        headers.append((name[5:].replace('_', '-').title(), value))
    return headers


def _read_idempotency_key(environ: Environ) -> str:
    key = environ.get('HTTP_IDEMPOTENCY_KEY', '')
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
        raise refusals.bad_request(
            'bad-idempotency-key',
            f'longer than {MAX_IDEMPOTENCY_KEY_CHARS} characters',
        )
    return key
