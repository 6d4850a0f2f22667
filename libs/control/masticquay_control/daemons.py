"""The daemon ``masticquay-controld``."""

import contextlib
import logging
import pathlib
import sys
import typing

from absl import app
from absl import flags
from pythonjsonlogger import json as json_logging
from returns import result

from masticquay_bundles import schemas
from masticquay_bundles import settings as settings_files
from masticquay_consensus import errors as consensus_errors
from masticquay_control import replicas
from masticquay_serving import signals
from masticquay_wire import peers

LOG = logging.getLogger(__name__)

EXIT_FAILED = 1
EXIT_SETTINGS = 78  # EX_CONFIG of sysexits.h
LOG_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'

_STRING = {'type': 'string'}

SETTINGS = [
    settings_files.SettingDefinition(
        'name',
        schemas.NAME,
        settings_files.REQUIRED,
        'the name of this replica',
    ),
    settings_files.SettingDefinition(
        'place',
        schemas.NAME,
        settings_files.REQUIRED,
        'the data centre of this replica',
    ),
    settings_files.SettingDefinition(
        'peer_address',
        schemas.ADDRESS,
        settings_files.REQUIRED,
        'where hosts, operators and other replicas connect',
    ),
    settings_files.SettingDefinition(
        'data_folder',
        _STRING,
        settings_files.REQUIRED,
        'where the log and snapshots are stored',
    ),
    settings_files.SettingDefinition(
        'replicas',
        {
            'type': 'array',
            'minItems': 1,
            'items': {
                'type': 'object',
                'additionalProperties': False,
                'required': ['name', 'address'],
                'properties': {
                    'name': schemas.NAME,
                    'address': schemas.ADDRESS,
                },
            },
        },
        settings_files.REQUIRED,
        'the initial voters',
    ),
    settings_files.SettingDefinition(
        'secret_file',
        _STRING,
        settings_files.REQUIRED,
        'the file with the shared secret of the fleet',
    ),
    settings_files.SettingDefinition(
        'log_file', _STRING, '', 'the log file; empty: standard error'
    ),
    settings_files.SettingDefinition(
        'metrics_address',
        {'anyOf': [schemas.ADDRESS, {'const': ''}]},
        '',
        'where metrics are served; empty: not served',
    ),
    settings_files.SettingDefinition(
        'seed',
        {'type': 'integer'},
        0,
        'the seed of the random number generator',
    ),
]

SETTINGS_FILE = flags.DEFINE_string('settings', None, 'The settings file.')
CHECK_ONLY = flags.DEFINE_bool('check', False, 'Only check the settings.')


def make_settings(
    values: dict[str, typing.Any], secret: bytes
) -> replicas.ReplicaSettings:
    """Builds the replica's settings from validated values."""
    return replicas.ReplicaSettings(
        values['name'],
        values['place'],
        peers.Address.parse(values['peer_address']),
        pathlib.Path(values['data_folder']),
        {item['name']: item['address'] for item in values['replicas']},
        secret,
        values['seed'],
    )


def set_up_logging(log_file: str) -> None:
    """Logs as JSON to a file, or to standard error if none is named."""
    handler: logging.Handler = logging.StreamHandler(sys.stderr)
    if log_file:
        handler = logging.FileHandler(log_file)
    handler.setFormatter(json_logging.JsonFormatter(LOG_FORMAT))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.INFO)


def main(arguments: list[str]) -> int:
    """Validates the settings, then runs a replica until it is stopped.

    :returns: the exit status
    """
    if not SETTINGS_FILE.value:
        print('--settings=FILE is missing', file=sys.stderr)
        return EXIT_SETTINGS
    path = pathlib.Path(SETTINGS_FILE.value)
    checked = settings_files.check_file(path, SETTINGS)
    if isinstance(checked, result.Failure):
        for problem in checked.failure():
            print(problem, file=sys.stderr)
        return EXIT_SETTINGS
    values = checked.unwrap()
    if CHECK_ONLY.value:
        return 0
    set_up_logging(values['log_file'])
    try:
        secret = pathlib.Path(values['secret_file']).read_bytes().strip()
        return _serve(make_settings(values, secret), values['metrics_address'])
    except (OSError, consensus_errors.ConsensusError) as cause:
        LOG.error(
            'control replica failed to start', extra={'cause': str(cause)}
        )
        return EXIT_FAILED


def _serve(settings: replicas.ReplicaSettings, metrics_address: str) -> int:
    stop_signals = signals.Signals()
    with contextlib.ExitStack() as stack:
        replica = replicas.Replica(settings)
        replica.start(stop_signals.stop_requested)
        stack.callback(replica.close)
        if metrics_address:
            _serve_metrics(stack, replica, metrics_address)
        LOG.info('ready', extra={'address': str(replica.listener.address)})
        stop_signals.wait_for_stop(lambda: None)
    LOG.info('stopped')
    return 0


def _serve_metrics(
    stack: contextlib.ExitStack, replica: replicas.Replica, address: str
) -> None:
    # Imported here to save memory in a replica without metrics.
    from masticquay_control import metrics

    exported = metrics.ControlMetrics(replica)
    stack.callback(exported.close)
    exported.serve(peers.Address.parse(address))


def run() -> None:
    """Runs the daemon as a program."""
    app.run(main)


if __name__ == '__main__':
    run()
