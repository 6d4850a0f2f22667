"""Draining: leaving without cutting a request."""

import logging

from masticquay_entry import runs
from masticquay_entry import servers
from masticquay_entry import settings
from masticquay_membership import messages
from masticquay_membership import protocols
from masticquay_wire import clocks

LOG = logging.getLogger(__name__)

POLL_MS = 50
# The longest wait for the view that shows this host as leaving.
VIEW_LIMIT_MS = 10_000
# Covers the way of the last list to its caller.
LIST_MARGIN_MS = 500


class Drain:
    """The steps from SIGTERM to the last answer.

    Other hosts name this one in their lists until they have adopted the view
    that shows it as leaving, and callers use such a list until it expires:
    so long this host accepts.
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
        self.begun = False
        self.refusing = False

    def listed_view(self) -> messages.View:
        """Returns the view that host lists are made from."""
        view = self._membership.state().view
        if not self.begun:
            return view
        name = self._settings.name
        others = [host for host in view.hosts if host.name != name]
        return messages.View(view.number, others)

    def run(self, server: servers.EntryServer) -> bool:
        """Drains; returns whether every request had its end."""
        self.begun = True
        LOG.info('leaving')
        self._membership.leave()
        server.announce_closing()
        self._wait_listed_leaving()
        self._clock.sleep_ms(self._settings.host_list_ttl_ms + LIST_MARGIN_MS)
        LOG.info('no list names this host any more')
        server.stop_accepting()
        finished = self._registry.wait_idle(self._settings.drain_limit_ms)
        self.refusing = True
        server.flush(self._clock.sleep_ms)
        LOG.info('drained', extra={'finished': finished})
        return finished

    def _wait_listed_leaving(self) -> None:
        limit_ms = self._clock.now_ms() + VIEW_LIMIT_MS
        while self._clock.now_ms() < limit_ms:
            if self._is_listed_leaving():
                return
            self._clock.sleep_ms(POLL_MS)
        LOG.warning('control did not list this host as leaving')

    def _is_listed_leaving(self) -> bool:
        state = self._membership.state()
        host = state.view.host(self._settings.name)
        if host is not None and not host.leaving:
            return False
        return state.adopted_view_number >= state.view.number
