"""Settings of the entry daemon, with their defaults."""

import typing

from masticquay_bundles import schemas
from masticquay_bundles import settings

_TEXT = {'type': 'string', 'minLength': 1}


def _count(least: int, most: int) -> dict[str, typing.Any]:
    return {'type': 'integer', 'minimum': least, 'maximum': most}


KNOWN = [
    settings.Setting(
        'name', schemas.NAME, settings.REQUIRED, 'name of this host'
    ),
    settings.Setting(
        'place', schemas.NAME, settings.REQUIRED, 'data centre of this host'
    ),
    settings.Setting(
        'caller_address',
        schemas.ADDRESS,
        settings.REQUIRED,
        'where callers connect, ip:port',
    ),
    settings.Setting(
        'peer_address',
        schemas.ADDRESS,
        settings.REQUIRED,
        'where other processes of the system connect, ip:port',
    ),
    settings.Setting(
        'control',
        {'type': 'array', 'items': schemas.ADDRESS, 'minItems': 1},
        settings.REQUIRED,
        'addresses of the control replicas',
    ),
    settings.Setting(
        'secret_file',
        _TEXT,
        settings.REQUIRED,
        'file with the secret that all processes of the fleet share',
    ),
    settings.Setting(
        'log_file',
        {'type': 'string'},
        '',
        'file for the log; standard error when empty',
    ),
    settings.Setting(
        'seed', _count(0, 2**63 - 1), 0, 'seed of random choices'
    ),
    settings.Setting(
        'threads',
        _count(1, 2_000),
        200,
        'requests served at once; one thread each',
    ),
    settings.Setting(
        'connection_limit',
        _count(10, 100_000),
        2_000,
        'connections of callers at once',
    ),
    settings.Setting(
        'body_limit_bytes',
        _count(1_024, 2**30),
        1_048_576,
        'longest body of a request',
    ),
    settings.Setting(
        'header_limit_bytes',
        _count(1_024, 2**20),
        32_768,
        'longest head of a request',
    ),
    settings.Setting(
        'output_buffer_bytes',
        _count(4_096, 2**26),
        131_072,
        'output kept for a caller that reads slowly',
    ),
    settings.Setting(
        'caller_stall_ms',
        _count(100, 600_000),
        10_000,
        'longest time in which a caller takes none of its waiting output',
    ),
    settings.Setting(
        'caller_silence_ms',
        _count(1_000, 600_000),
        8_000,
        'longest time without a sign of life from a caller connection',
    ),
    settings.Setting(
        'default_output_tokens',
        _count(1, 1_000_000),
        256,
        'output limit of a request that names none',
    ),
    settings.Setting(
        'output_limit_tokens',
        _count(1, 1_000_000),
        8_192,
        'highest output limit that a request may name',
    ),
    settings.Setting(
        'host_list_ttl_ms',
        _count(100, 3_600_000),
        5_000,
        'how long callers may use a list of hosts',
    ),
    settings.Setting(
        'drain_limit_ms',
        _count(100, 86_400_000),
        600_000,
        'longest time for requests to finish after SIGTERM',
    ),
    settings.Setting(
        'metrics_sources',
        {
            'type': 'array',
            'items': {'type': 'string', 'pattern': r'^[0-9]+(\.[0-9]+){3}$'},
        },
        [],
        'IP numbers that may read /metrics; all when empty',
    ),
    settings.Setting(
        'usage_interval_ms',
        _count(100, 600_000),
        1_000,
        'time between two usage batches',
    ),
]


class EntrySettings:
    """The values of ``KNOWN``, one attribute each."""

    __slots__ = tuple(setting.name for setting in KNOWN)

    def __init__(self, values: dict[str, typing.Any]):
        for setting in KNOWN:
            setattr(self, setting.name, values[setting.name])

    @classmethod
    def with_defaults(cls, **values: typing.Any) -> typing.Self:
        """Fills in the defaults, for processes that read no file."""
        known = {
            setting.name: setting.default
            for setting in KNOWN
            if setting.default is not settings.REQUIRED
        }
        return cls({**known, **values})
