"""Builders of tables, endpoints and requests for tests."""

from masticquay_routing import fleets
from masticquay_routing import pools
from masticquay_routing import queued_requests
from masticquay_routing import tables

MEMORY_TOKENS = 20_000
SLOTS = 16


def make_route(
    name='r', host='a.example', prefix='/a/', service='svc', **overrides
):
    """Returns an idempotent route; ``overrides`` replaces its fields."""
    fields = {
        'kind': tables.RouteKind.IDEMPOTENT,
        'timeout_ms': 1_000,
        'target_ms': 300,
        'priority': 1,
        'targets': [tables.Target(service, 1.0)],
    }
    fields.update(overrides)
    return tables.Route(name, host, prefix, **fields)


def make_table(version=1, routes=None, services=None, workspaces=None):
    """Returns a table, by default with one route and one service."""
    return tables.Table(
        version,
        [make_route()] if routes is None else routes,
        services or [tables.Service('svc', '/health', 10, None)],
        workspaces,
        tables.CallerLimits(16_384, 1_000_000, 3_000, 15_000),
    )


def make_engine(number, role, place='p1', leaving=False):
    """Returns an engine of the service ``llm``."""
    return fleets.Endpoint(
        f'e{number}',
        'llm',
        f'127.0.0.1:{9_000 + number}',
        place,
        SLOTS,
        leaving,
        role,
    )


def make_pool(prefills=1, decodes=2):
    """Returns a pool of engines e0, e1, ..., prefill engines first."""
    pool = pools.Pool()
    engines = [
        make_engine(
            n, fleets.ROLE_PREFILL if n < prefills else fleets.ROLE_DECODE
        )
        for n in range(prefills + decodes)
    ]
    pool.set_engines(engines, MEMORY_TOKENS, SLOTS)
    return pool


def make_request(number, now_ms=0, prompt=3_000, output=1_000, **overrides):
    """Returns a request that may wait for 500 ms, with ``overrides``."""
    fields = {
        'workspace': 'w',
        'priority': 1,
        'arrived_ms': now_ms,
        'target_deadline_ms': now_ms + 500,
        'placement_deadline_ms': now_ms + 500,
    }
    fields.update(overrides)
    return queued_requests.QueuedRequest(
        key=('host', number),
        prompt_tokens=prompt,
        output_tokens=output,
        **fields,
    )
