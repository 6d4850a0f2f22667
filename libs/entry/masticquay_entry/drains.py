"""Draining: stopping a host without interrupting a request."""

import logging

from masticquay_entry import runs
from masticquay_entry import servers
from masticquay_entry import settings
from masticquay_membership import messages
from masticquay_membership import protocols
from masticquay_wire import clocks

LOG = logging.getLogger(__name__)

POLL_MS = 50
# Longest wait until all hosts show this one as leaving.
LEAVING_VIEW_TIMEOUT_MS = 10_000
# Added to the TTL of host lists, for the time until a list arrives.
LIST_MARGIN_MS = 500


class Drain:
    """The shutdown sequence from SIGTERM to the last answer.

    Other hosts keep this host in their host lists until they have adopted
    the view that shows it as leaving, and callers use a list until its TTL
    expires. This host accepts requests until both have passed.

    :ivar started: host lists leave this host out, and it is not ready
    :ivar rejecting: every new request is refused
    """

    def __init__(
        self,
        membership: protocols.Membership,
        registry: runs.RunRegistry,
        clock: clocks.Clock,
        entry_settings: settings.EntrySettings,
    ):
        self._membership = membership
        self._registry = registry
        self._clock = clock
        self._settings = entry_settings
        self.started = False
        self.rejecting = False

    def listed_view(self) -> messages.View:
        """Returns the view that host lists are made from."""
        view = self._membership.state().view
        if not self.started:
            return view
        name = self._settings.name
        others = [host for host in view.hosts if host.name != name]
        return messages.View(view.number, others)

    def run(self, server: servers.EntryServer) -> bool:
        """Drains this host.

        :returns: whether every request ended within ``drain_limit_ms``
        """
        self.started = True
        LOG.info('drain started')
        self._membership.mark_leaving()
        server.disable_keep_alive()
        self._wait_until_shown_leaving()
        self._clock.sleep_ms(self._settings.host_list_ttl_ms + LIST_MARGIN_MS)
        LOG.info('host lists that name this host have expired')
        server.stop_accepting()
        finished = self._registry.wait_idle(self._settings.drain_limit_ms)
        self.rejecting = True
        server.wait_until_flushed(self._clock.sleep_ms)
        LOG.info('drain finished', extra={'finished': finished})
        return finished

    def _wait_until_shown_leaving(self) -> None:
        limit_ms = self._clock.now_ms() + LEAVING_VIEW_TIMEOUT_MS
        while self._clock.now_ms() < limit_ms:
            if self._is_shown_leaving():
                return
            self._clock.sleep_ms(POLL_MS)
        LOG.warning(
            'timed out waiting for a view that shows this host as leaving'
        )

    def _is_shown_leaving(self) -> bool:
        state = self._membership.state()
        host = state.view.host(self._settings.name)
        if host is not None and not host.leaving:
            return False
        return state.adopted_view_number >= state.view.number
