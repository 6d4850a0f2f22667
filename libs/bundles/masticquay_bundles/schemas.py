"""JSON schemas of bundle files."""

import typing

NAME_PATTERN = '^[a-z0-9][a-z0-9._-]{0,62}$'
ADDRESS_PATTERN = r'^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$'
MAX_COUNT = 2**53

Schema = dict[str, typing.Any]


def _object(required: list[str], **properties: Schema) -> Schema:
    return {
        'type': 'object',
        'additionalProperties': False,
        'required': required,
        'properties': properties,
    }


def _list(items: Schema, least: int = 0) -> Schema:
    return {'type': 'array', 'items': items, 'minItems': least}


def _count(least: int, most: int = MAX_COUNT) -> Schema:
    return {'type': 'integer', 'minimum': least, 'maximum': most}


def _choice(*values: str) -> Schema:
    return {'enum': list(values)}


NAME: Schema = {'type': 'string', 'pattern': NAME_PATTERN}
TEXT: Schema = {'type': 'string', 'maxLength': 200}
FLAG: Schema = {'type': 'boolean'}
ADDRESS: Schema = {'type': 'string', 'pattern': ADDRESS_PATTERN}
HEX_32: Schema = {'type': 'string', 'pattern': '^[0-9a-f]{64}$'}
PATH: Schema = {'type': 'string', 'pattern': '^/[A-Za-z0-9/._~-]*$'}

WORKSPACE = _object(
    ['name', 'rate_tokens_per_s', 'burst_tokens'],
    name=NAME,
    rate_tokens_per_s=_count(1),
    burst_tokens=_count(1),
    weight=_count(1, 1_000),
    host_count=_count(1, 1_000),
)
KEY = _object(
    ['digest', 'workspace'], digest=HEX_32, workspace=NAME, label=TEXT
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
    kind=_choice('prompt', 'standard', 'deferred'),
    first_token_target_ms=_count(1, 3_600_000),
    between_tokens_target_ms=_count(1, 3_600_000),
    deadline_ms=_count(1, 86_400_000),
    max_wait_ms=_count(0, 86_400_000),
)
MODEL = _object(
    ['name', 'version'],
    name=NAME,
    version=NAME,
    weights_bytes=_count(0),
    kv_bytes_per_token=_count(1, 100_000_000),
    minimum_endpoints=_count(0, 10_000),
    adapters=_list(NAME),
)
ROUTE = _object(
    ['path', 'access', 'classes'],
    path=PATH,
    methods=_list(_choice('GET', 'POST', 'PUT', 'PATCH', 'DELETE'), 1),
    access=_choice('open', 'keyed'),
    idempotent=FLAG,
    classes=_list(NAME, 1),
    model=NAME,
    service=NAME,
    workspaces=_list(NAME),
    on_withdrawal=_choice('cut', 'finish'),
)
ENDPOINT = _object(
    ['name', 'kind', 'address', 'place', 'slots'],
    name=NAME,
    kind=_choice('engine', 'service'),
    address=ADDRESS,
    place=NAME,
    roles=_list(_choice('prefill', 'decode')),
    model=NAME,
    service=NAME,
    slots=_count(1, 100_000),
    pieces=_count(1, 100_000_000),
    piece_tokens=_count(1, 65_536),
    link_bytes_per_s=_count(1),
    checks_fencing=FLAG,
    checks_orderer=FLAG,
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
    version=_count(1),
    approvals_required=_count(1, 100),
    approvers=_list(
        _object(['name', 'public_key'], name=NAME, public_key=HEX_32), 1
    ),
    places=_list(_object(['name', 'region'], name=NAME, region=NAME), 1),
    workspaces=_list(WORKSPACE, 1),
    keys=_list(KEY),
    classes=_list(SERVICE_CLASS, 1),
    models=_list(MODEL),
    services=_list(NAME),
    routes=_list(ROUTE, 1),
    endpoints=_list(ENDPOINT),
    weight_stores=_list(
        _object(
            ['address', 'rate_bytes_per_s'],
            address=ADDRESS,
            rate_bytes_per_s=_count(1),
        )
    ),
    platform_list=ADDRESS,
)
