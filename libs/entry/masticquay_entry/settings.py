"""Settings of the entry daemon, with their defaults."""

import typing

from masticquay_bundles import schemas
from masticquay_bundles import settings

_NON_EMPTY_STRING = {'type': 'string', 'minLength': 1}


def _integer(minimum: int, maximum: int) -> dict[str, typing.Any]:
    return {'type': 'integer', 'minimum': minimum, 'maximum': maximum}


KNOWN_SETTINGS = [
    settings.SettingDefinition(
        'name', schemas.NAME, settings.REQUIRED, 'name of this host'
    ),
    settings.SettingDefinition(
        'place', schemas.NAME, settings.REQUIRED, 'data centre of this host'
    ),
    settings.SettingDefinition(
        'caller_address',
        schemas.ADDRESS,
        settings.REQUIRED,
        'address for callers, ip:port',
    ),
    settings.SettingDefinition(
        'peer_address',
        schemas.ADDRESS,
        settings.REQUIRED,
        'address for other processes of the fleet, ip:port',
    ),
    settings.SettingDefinition(
        'control',
        {'type': 'array', 'items': schemas.ADDRESS, 'minItems': 1},
        settings.REQUIRED,
        'addresses of the control replicas',
    ),
    settings.SettingDefinition(
        'secret_file',
        _NON_EMPTY_STRING,
        settings.REQUIRED,
        'file with the shared secret of the fleet',
    ),
    settings.SettingDefinition(
        'log_file',
        {'type': 'string'},
        '',
        'log file; standard error when empty',
    ),
    settings.SettingDefinition(
        'seed', _integer(0, 2**63 - 1), 0, 'seed of random choices'
    ),
    settings.SettingDefinition(
        'threads',
        _integer(1, 2_000),
        200,
        'maximum concurrent requests; one thread each',
    ),
    settings.SettingDefinition(
        'connection_limit',
        _integer(10, 100_000),
        2_000,
        'maximum open connections of callers',
    ),
    settings.SettingDefinition(
        'body_limit_bytes',
        _integer(1_024, 2**30),
        1_048_576,
        'maximum size of a request body',
    ),
    settings.SettingDefinition(
        'header_limit_bytes',
        _integer(1_024, 2**20),
        32_768,
        'maximum size of the request headers',
    ),
    settings.SettingDefinition(
        'output_buffer_bytes',
        _integer(4_096, 2**26),
        131_072,
        'output buffered for a slow caller',
    ),
    settings.SettingDefinition(
        'caller_stall_ms',
        _integer(100, 600_000),
        10_000,
        'longest time without progress while output waits for a caller',
    ),
    settings.SettingDefinition(
        'caller_silence_ms',
        _integer(1_000, 600_000),
        8_000,
        'time after which an unresponsive caller connection is closed',
    ),
    settings.SettingDefinition(
        'default_output_tokens',
        _integer(1, 1_000_000),
        256,
        'output limit of a request that sets none',
    ),
    settings.SettingDefinition(
        'output_limit_tokens',
        _integer(1, 1_000_000),
        8_192,
        'highest output limit that a request may set',
    ),
    settings.SettingDefinition(
        'host_list_ttl_ms',
        _integer(100, 3_600_000),
        5_000,
        'how long callers may use a list of hosts',
    ),
    settings.SettingDefinition(
        'drain_limit_ms',
        _integer(100, 86_400_000),
        600_000,
        'longest time for requests to finish after SIGTERM',
    ),
    settings.SettingDefinition(
        'metrics_sources',
        {
            'type': 'array',
            'items': {'type': 'string', 'pattern': r'^[0-9]+(\.[0-9]+){3}$'},
        },
        [],
        'IP addresses that may read /metrics; all when empty',
    ),
    settings.SettingDefinition(
        'usage_interval_ms',
        _integer(100, 600_000),
        1_000,
        'time between two usage batches',
    ),
]


class EntrySettings:
    """The values of ``KNOWN_SETTINGS``, one attribute each."""

    __slots__ = tuple(setting.name for setting in KNOWN_SETTINGS)

    def __init__(self, values: dict[str, typing.Any]):
        for setting in KNOWN_SETTINGS:
            setattr(self, setting.name, values[setting.name])

    @classmethod
    def with_defaults(cls, **values: typing.Any) -> typing.Self:
        """Fills in the defaults, for programs that read no settings file."""
        known = {
            setting.name: setting.default
            for setting in KNOWN_SETTINGS
            if setting.default is not settings.REQUIRED
        }
        return cls({**known, **values})
