"""One request on its way through the entry host."""

import time

from masticquay_endpoints import interrupts
from masticquay_gateway import ports
from masticquay_routing import tables
from masticquay_serving import replies
from masticquay_serving import requests

# Time kept back, so that the answer is out before the caller gives up.
ANSWER_MARGIN_MS = 15


class Job:
    """A request that was accepted, with the table it runs under.

    :param interrupt: fires when the caller leaves
    """

    __slots__ = (
        'request',
        'call',
        'reply',
        'table',
        'route',
        'workspace',
        'service',
        'interrupt',
        'tried',
    )

    def __init__(
        self,
        request: requests.Request,
        call: ports.Call,
        reply: replies.Reply,
        table: tables.Table,
        route: tables.Route,
        workspace: tables.Workspace | None,
        service: str,
        interrupt: interrupts.Interrupt,
    ):
        self.request = request
        self.call = call
        self.reply = reply
        self.table = table
        self.route = route
        self.workspace = workspace
        self.service = service
        self.interrupt = interrupt
        self.tried: set[str] = set()

    @property
    def workspace_name(self) -> str | None:
        """The workspace's name, None without one."""
        return self.workspace.name if self.workspace else None

    @property
    def priority(self) -> int:
        """The rank of the request; the workspace's goes first."""
        workspace = self.workspace
        if workspace is not None and workspace.priority is not None:
            return workspace.priority
        return self.route.priority

    @property
    def elapsed_ms(self) -> float:
        """How long the request has been here."""
        return (time.monotonic() - self.request.started_s) * 1000

    @property
    def remaining_ms(self) -> int:
        """The time left until the final answer is due."""
        limit_ms = self.route.timeout_ms
        deadline_ms = self.call.deadline_ms
        if deadline_ms is not None:
            limit_ms = min(limit_ms, deadline_ms)
        return int(limit_ms - self.elapsed_ms) - ANSWER_MARGIN_MS

    def terms(self, last_event_id: str | None = None) -> ports.Terms:
        """Returns what an endpoint is told now."""
        return ports.Terms(
            self.workspace_name, max(1, self.remaining_ms), last_event_id
        )
