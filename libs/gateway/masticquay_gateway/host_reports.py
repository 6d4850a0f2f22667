"""What an entry host tells the control leader of itself with each renewal."""

import typing

from masticquay_gateway import usages
from masticquay_routing import held_requests
from masticquay_routing import messages
from masticquay_routing import named_limits
from masticquay_routing import slot_messages
from masticquay_routing import stream_origins
from masticquay_wire import messages as wire_messages


class Identity:
    """Identity of this host.

    :param address: ``ip:port`` for callers
    :param place: the host's data centre
    :param incarnation: different after each start
    :param link_address: ``ip:port`` for links of other hosts
    """

    __slots__ = ('name', 'address', 'place', 'incarnation', 'link_address')

    def __init__(
        self,
        name: str,
        address: str,
        place: str,
        incarnation: int,
        link_address: str = '',
    ):
        self.name = name
        self.address = address
        self.place = place
        self.incarnation = incarnation
        self.link_address = link_address


class HostReport(typing.Protocol):
    """The part of a host that renewals report on and responses update."""

    def is_ready(self) -> bool:
        """Whether callers may use this host."""

    def reaches_endpoints(self) -> bool:
        """Whether this host can connect to endpoints."""

    def report_usage(self) -> usages.UsageReport:
        """Returns the cost of requests that the leader has not confirmed.

        The unit is tokens or requests, as the workspace's rate counts them.
        """

    def confirm_usage(self, number: int) -> None:
        """Records that the leader charged the report with a number."""

    def running_requests(self) -> list[messages.Running]:
        """Returns the placed requests that this host is running."""

    def held_requests(self) -> held_requests.HeldRequests:
        """Returns the model requests that have not ended."""

    def recent_origins(self) -> list[stream_origins.StreamOrigin]:
        """Returns where recent streams began, also those that it keeps."""

    def keep_origins(self, origins: list[stream_origins.StreamOrigin]) -> None:
        """Keeps where streams of other hosts began, for the next leader."""

    def recent_ends(self) -> list[wire_messages.Message]:
        """Returns the ends of endpoints that the host has reported."""

    def apply_suspects(self, suspects: list[str]) -> None:
        """Replaces the requests of which one copy may run at a time."""

    def quarantined_prompts(self) -> dict[str, int]:
        """Returns the parts of prompts to refuse, with the time left in ms."""

    def set_quarantined_prompts(self, quarantined: dict[str, int]) -> None:
        """Replaces the parts of prompts to refuse."""

    def set_exhausted(self, exhausted: dict[str, int]) -> None:
        """Replaces the workspaces that are over their rate limit.

        :param exhausted: time in ms until requests of each workspace are
            allowed again
        """

    def collect_endpoint_reports(self) -> list[messages.EndpointReport]:
        """Returns and resets what was seen of plain services' endpoints."""

    def apply_endpoint_views(self, views: list[messages.EndpointView]) -> None:
        """Applies what all hosts together know of these endpoints."""

    def report_limits(self) -> list[named_limits.LimitWord]:
        """Returns what this host knows of the limits that endpoints name."""

    def apply_limits(self, words: list[named_limits.LimitWord]) -> None:
        """Applies what the leader knows of them."""

    def held_slots(self) -> slot_messages.HeldSlots | None:
        """Returns the requests that asked for slots and have not ended."""

    def apply_scarce(self, services: list[str]) -> None:
        """Applies for which plain services hosts ask for slots."""
