"""Settings of the stand-ins around a test fleet."""

import typing

from masticquay_bench import deployments
from masticquay_bench import layouts

OTHERS = 'others'


def make_configs(
    deployment: deployments.Deployment,
    layout: layouts.Layout,
    engine_count: int,
    service_count: int,
    engine_options: dict[str, typing.Any],
    seed: int,
) -> dict[str, list[dict[str, typing.Any]]]:
    """Returns the stand-ins of each process, by the process's name."""
    configs = {}
    for number in range(engine_count):
        name = f'engine-{number}'
        options = {
            'model': deployment.model,
            **engine_options,
            'checks_fencing': number % 2 == 0,
            'seed': seed + number,
        }
        address = layout.engine(number)
        configs[name] = [_entry('engine', name, address, options)]
    for number in range(service_count):
        name = f'service-{number}'
        address = layout.service(number)
        configs[name] = [_entry('service', name, address, {})]
    hosts = list_hosts(layout, engine_count, service_count)
    configs[OTHERS] = [
        _entry('weights', 'weights', layout.other(0), {}),
        _entry('platform', 'platform', layout.other(1), {'hosts': hosts}),
    ]
    return configs


def list_hosts(
    layout: layouts.Layout,
    engine_count: int,
    service_count: int,
    leaving: set[str] = frozenset(),
) -> list[dict[str, str]]:
    """Returns the platform list of a fleet."""
    engines = [(f'engine-{n}', layout.engine(n)) for n in range(engine_count)]
    services = [
        (f'service-{n}', layout.service(n)) for n in range(service_count)
    ]
    return [
        {
            'name': name,
            'address': address,
            'state': 'leaving' if name in leaving else 'live',
        }
        for name, address in engines + services
    ]


def _entry(
    kind: str, name: str, address: str, options: dict[str, typing.Any]
) -> dict[str, typing.Any]:
    return {
        'kind': kind,
        'name': name,
        'address': address,
        'options': options,
    }
