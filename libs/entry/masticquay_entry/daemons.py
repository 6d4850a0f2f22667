"""The entry daemon: ``masticquay-entryd --settings=FILE``."""

import contextlib
import logging
import pathlib
import random
import sys
import threading

from absl import app
from absl import flags
from returns import result

from masticquay_bundles import settings as bundle_settings
from masticquay_endpoints import client_caches
from masticquay_endpoints import watchers
from masticquay_entry import hosts
from masticquay_entry import logs
from masticquay_entry import settings
from masticquay_membership import clients as control_clients
from masticquay_membership import messages as membership_messages
from masticquay_membership import sessions
from masticquay_scheduling import clients as pool_clients
from masticquay_scheduling import directories
from masticquay_scheduling import rate_clients
from masticquay_scheduling import services
from masticquay_scheduling import settings as scheduling_settings
from masticquay_serving import signals
from masticquay_wire import clocks
from masticquay_wire import listeners
from masticquay_wire import peers

LOG = logging.getLogger(__name__)

EXIT_FAILED = 1
# EX_CONFIG of sysexits.h: a configuration error.
EXIT_SETTINGS = 78
READY_POLL_MS = 50
SETTINGS = flags.DEFINE_string('settings', None, 'Path of the settings file.')
CHECK = flags.DEFINE_bool('check', False, 'Check the settings file and exit.')


class EntryDaemon:
    """One entry host: serves callers and owns a share of pools and rates."""

    def __init__(self, entry_settings: settings.EntrySettings, secret: bytes):
        self._settings = entry_settings
        self._secret = secret
        self._clock = clocks.MonotonicClock()
        self._random = random.Random(entry_settings.seed)
        self._stack = contextlib.ExitStack()
        self._stopping = threading.Event()

    def stop(self) -> None:
        """Asks the daemon to drain and exit."""
        self._stopping.set()

    def run(self) -> int:
        """Serves until asked to stop, drains, and returns the exit status.

        The status is ``EXIT_FAILED`` when a request outlasted the drain.
        """
        with self._stack:
            session = self._open_session()
            self._start_scheduling(session)
            host = self._start_host(session)
            session.start()
            self._log_when_ready(session, host)
            self._stopping.wait()
            finished = host.drain()
            return 0 if finished else EXIT_FAILED

    def _open_session(self) -> sessions.Session:
        client = control_clients.ControlClient(
            self._settings.control, self._settings.name, self._secret
        )
        self._stack.callback(client.close)
        host = membership_messages.Host(
            self._settings.name,
            0,
            self._settings.place,
            self._settings.caller_address,
            self._settings.peer_address,
        )
        session = sessions.Session(
            client, host, self._settings.name, self._secret, self._clock
        )
        self._stack.callback(session.close)
        return session

    def _start_scheduling(self, session: sessions.Session) -> None:
        """Starts scheduling on this host.

        That is the service for the pools and rates that this host owns, and
        the clients that reach the owners of the others.
        """
        self._client_cache = client_caches.ClientCache()
        self._stack.callback(self._client_cache.close)
        watcher = watchers.HttpWatcher(
            lambda: session.state().bundle, self._client_cache
        )
        self._stack.callback(watcher.close)
        directory = directories.PeerDirectory(
            self._settings.name, self._secret
        )
        self._stack.callback(directory.close)
        listener = listeners.Listener(
            peers.Address.parse(self._settings.peer_address),
            self._settings.name,
            self._secret,
        )
        policy = scheduling_settings.SchedulingSettings()
        service = services.SchedulingService(
            session,
            listener,
            watcher,
            self._clock,
            self._random,
            policy,
            directory,
        )
        client_arguments = (
            session,
            service,
            directory,
            self._clock,
            self._random,
        )
        self._pools = pool_clients.PoolClient(*client_arguments, policy)
        self._rates = rate_clients.RateClient(*client_arguments, policy)
        listener.start()
        self._stack.callback(listener.close)
        for component in (service, self._pools, self._rates):
            component.start()
            self._stack.callback(component.close)

    def _start_host(self, session: sessions.Session) -> hosts.EntryHost:
        host = hosts.EntryHost(
            session,
            self._pools,
            self._rates,
            self._client_cache,
            self._settings,
            self._clock,
        )
        self._stack.callback(host.close)
        host.start()
        return host

    def _log_when_ready(
        self, session: sessions.Session, host: hosts.EntryHost
    ) -> None:
        while not session.lease_valid():
            if self._stopping.wait(READY_POLL_MS / 1000):
                return
        LOG.info(
            'ready',
            extra={
                'caller_address': str(host.address),
                'incarnation': session.host.incarnation,
            },
        )


def load_settings(path: pathlib.Path) -> settings.EntrySettings | None:
    """Returns the settings; None after printing a line for each fault."""
    checked = bundle_settings.check_file(path, settings.KNOWN_SETTINGS)
    if isinstance(checked, result.Failure):
        for problem in checked.failure():
            print(problem, file=sys.stderr)
        return None
    return settings.EntrySettings(checked.unwrap())


def main(arguments: list[str]) -> int:
    """Checks the settings, then serves until SIGTERM or SIGINT."""
    if not SETTINGS.value:
        print('--settings=FILE is missing', file=sys.stderr)
        return EXIT_SETTINGS
    entry_settings = load_settings(pathlib.Path(SETTINGS.value))
    if entry_settings is None:
        return EXIT_SETTINGS
    if CHECK.value:
        return 0
    try:
        logs.configure_logging(entry_settings.log_file, entry_settings.name)
        secret = pathlib.Path(entry_settings.secret_file).read_bytes().strip()
        daemon = EntryDaemon(entry_settings, secret)
        stop_signals = signals.Signals()
        threading.Thread(
            target=_stop_on_signal, args=(stop_signals, daemon), daemon=True
        ).start()
        status = daemon.run()
    except OSError as cause:
        LOG.error('start failed', extra={'cause': str(cause)})
        return EXIT_FAILED
    LOG.info('stopped')
    return status


def _stop_on_signal(
    stop_signals: signals.Signals, daemon: EntryDaemon
) -> None:
    stop_signals.wait_for_stop(lambda: None)
    daemon.stop()


def run() -> None:
    """Entry point of the ``masticquay-entryd`` program."""
    app.run(main)


if __name__ == '__main__':
    run()
