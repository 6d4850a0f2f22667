"""JSON schemas of bundle files and of values shared with settings files."""

import typing

NAME_PATTERN = '^[a-z0-9][a-z0-9._-]{0,62}$'
ADDRESS_PATTERN = r'^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$'
# A larger integer may lose precision when converted to a float.
MAX_INTEGER = 2**53

Schema = dict[str, typing.Any]


def _object(required: list[str], **properties: Schema) -> Schema:
    return {
        'type': 'object',
        'additionalProperties': False,
        'required': required,
        'properties': properties,
    }


def _array(items: Schema, min_items: int = 0) -> Schema:
    return {'type': 'array', 'items': items, 'minItems': min_items}


def _integer(minimum: int, maximum: int = MAX_INTEGER) -> Schema:
    return {'type': 'integer', 'minimum': minimum, 'maximum': maximum}


def _enum(*values: str) -> Schema:
    return {'enum': list(values)}


NAME: Schema = {'type': 'string', 'pattern': NAME_PATTERN}
SHORT_TEXT: Schema = {'type': 'string', 'maxLength': 200}
BOOLEAN: Schema = {'type': 'boolean'}
ADDRESS: Schema = {'type': 'string', 'pattern': ADDRESS_PATTERN}
HEX_32_BYTES: Schema = {'type': 'string', 'pattern': '^[0-9a-f]{64}$'}
PATH: Schema = {'type': 'string', 'pattern': '^/[A-Za-z0-9/._~-]*$'}

WORKSPACE = _object(
    ['name', 'rate_tokens_per_s', 'burst_tokens'],
    name=NAME,
    rate_tokens_per_s=_integer(1),
    burst_tokens=_integer(1),
    weight=_integer(1, 1_000),
    host_count=_integer(1, 1_000),
)
KEY = _object(
    ['digest', 'workspace'],
    digest=HEX_32_BYTES,
    workspace=NAME,
    label=SHORT_TEXT,
)
SERVICE_CLASS = _object(
    [
        'name',
        'kind',
        'first_token_target_ms',
        'between_tokens_target_ms',
        'deadline_ms',
        'max_wait_ms',
    ],
    name=NAME,
    kind=_enum('prompt', 'standard', 'deferred'),
    first_token_target_ms=_integer(1, 3_600_000),
    between_tokens_target_ms=_integer(1, 3_600_000),
    deadline_ms=_integer(1, 86_400_000),
    max_wait_ms=_integer(0, 86_400_000),
)
MODEL = _object(
    ['name', 'version'],
    name=NAME,
    version=NAME,
    weights_bytes=_integer(0),
    kv_bytes_per_token=_integer(1, 100_000_000),
    minimum_endpoints=_integer(0, 10_000),
    adapters=_array(NAME),
)
ROUTE = _object(
    ['path', 'access', 'classes'],
    path=PATH,
    methods=_array(_enum('GET', 'POST', 'PUT', 'PATCH', 'DELETE'), 1),
    access=_enum('open', 'keyed'),
    idempotent=BOOLEAN,
    classes=_array(NAME, 1),
    model=NAME,
    service=NAME,
    workspaces=_array(NAME),
    on_withdrawal=_enum('cut', 'finish'),
)
ENDPOINT = _object(
    ['name', 'kind', 'address', 'place', 'slots'],
    name=NAME,
    kind=_enum('engine', 'service'),
    address=ADDRESS,
    place=NAME,
    roles=_array(_enum('prefill', 'decode')),
    model=NAME,
    service=NAME,
    slots=_integer(1, 100_000),
    pieces=_integer(1, 100_000_000),
    piece_tokens=_integer(1, 65_536),
    link_bytes_per_s=_integer(1),
    checks_fencing=BOOLEAN,
    checks_orderer=BOOLEAN,
)
BUNDLE = _object(
    [
        'version',
        'approvals_required',
        'approvers',
        'places',
        'workspaces',
        'keys',
        'classes',
        'routes',
        'endpoints',
    ],
    version=_integer(1),
    approvals_required=_integer(1, 100),
    approvers=_array(
        _object(['name', 'public_key'], name=NAME, public_key=HEX_32_BYTES), 1
    ),
    places=_array(_object(['name', 'region'], name=NAME, region=NAME), 1),
    workspaces=_array(WORKSPACE, 1),
    keys=_array(KEY),
    classes=_array(SERVICE_CLASS, 1),
    models=_array(MODEL),
    services=_array(NAME),
    routes=_array(ROUTE, 1),
    endpoints=_array(ENDPOINT),
    weight_stores=_array(
        _object(
            ['address', 'rate_bytes_per_s'],
            address=ADDRESS,
            rate_bytes_per_s=_integer(1),
        )
    ),
    platform_list=ADDRESS,
)
