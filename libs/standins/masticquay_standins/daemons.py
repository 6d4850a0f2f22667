"""The program ``masticquay-standin``, which runs one or more stand-ins."""

import contextlib
import inspect
import json
import pathlib
import signal
import sys
import threading

from absl import app
from absl import flags
import yaml

from masticquay_standins import engines
from masticquay_standins import journals
from masticquay_standins import servers
from masticquay_standins import services

KINDS = ('engine', 'service', 'weights', 'platform')
EXIT_CONFIG = 78  # EX_CONFIG (configuration error) of sysexits.h.

_KIND = flags.DEFINE_enum('kind', None, KINDS, 'Kind of stand-in.')
_ADDRESS = flags.DEFINE_string('address', '127.0.0.1:0', 'Listening address.')
_NAME = flags.DEFINE_string('name', '', 'Name in the event log.')
_OPTIONS = flags.DEFINE_string('options', '{}', 'Options as a YAML map.')
_CONFIG = flags.DEFINE_string('config', '', 'YAML file that lists stand-ins.')
_RECORD_FOLDER = flags.DEFINE_string(
    'record_folder', '', 'Folder for the event log files.'
)


def build(
    kind: str,
    name: str,
    address: str,
    options: dict,
    folder: pathlib.Path | None = None,
) -> servers.Server:
    """Returns a stand-in that listens but does not serve yet.

    :param address: the address to listen on, as ``ip:port``
    :param options: the arguments of the class that the kind selects
    :param folder: the folder for the event log file, None for no file
    :raises ValueError: if the kind or an option is unknown
    """
    journal = journals.Journal(name, folder)
    if kind == 'engine':
        _check_options(engines.EngineSettings, options)
        settings = engines.EngineSettings(**options)
        application = engines.Engine(journal, settings)
    elif kind == 'service':
        _check_options(services.Service, options)
        application = services.Service(journal, **options)
    elif kind == 'weights':
        _check_options(services.WeightStore, options)
        application = services.WeightStore(journal, **options)
    elif kind == 'platform':
        _check_options(services.PlatformHostList, options)
        application = services.PlatformHostList(journal, **options)
    else:
        raise ValueError(f'unknown stand-in kind: {kind}')
    host, _, port = address.rpartition(':')
    server = servers.Server(host, int(port), application)
    journal.add(journals.EVENT_START, kind=kind, address=server.address)
    return server


def _check_options(cls: type, options: dict) -> None:
    known = set(inspect.signature(cls.__init__).parameters)
    unknown = set(options) - known
    if unknown:
        raise ValueError(f'unknown stand-in option: {sorted(unknown)[0]}')


def _read_entries() -> list[dict]:
    """Returns the stand-ins of the config file, or the one in the flags."""
    if _CONFIG.value:
        with open(_CONFIG.value) as file:
            return yaml.safe_load(file)['standins']
    return [
        {
            'kind': _KIND.value,
            'name': _NAME.value or _KIND.value,
            'address': _ADDRESS.value,
            'options': yaml.safe_load(_OPTIONS.value),
        }
    ]


def main(arguments: list[str]) -> int:
    """Runs the stand-ins until SIGTERM or SIGINT; returns the exit code."""
    del arguments
    folder = (
        pathlib.Path(_RECORD_FOLDER.value) if _RECORD_FOLDER.value else None
    )
    stop = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop.set())
    with contextlib.ExitStack() as stack:
        for entry in _read_entries():
            try:
                server = build(
                    entry['kind'],
                    entry['name'],
                    entry['address'],
                    entry.get('options') or {},
                    folder,
                )
            except (KeyError, ValueError) as cause:
                print(
                    f'missing key or invalid value in stand-in entry: {cause}',
                    file=sys.stderr,
                )
                return EXIT_CONFIG
            stack.callback(server.close)
            server.start()
            ready = {'message': 'ready', 'name': entry['name']}
            ready['address'] = server.address
            print(json.dumps(ready), flush=True)
        stop.wait()
    return 0


def run() -> None:
    """Runs ``main`` as the installed script."""
    app.run(main)


if __name__ == '__main__':
    run()
