"""What the control daemon asks of an adapter."""

import typing

from masticquay_routing import fleets


class EndpointLister(typing.Protocol):
    """Reads the platform's list of endpoints."""

    def read(self) -> list[fleets.Endpoint]:
        """Returns every endpoint on the list.

        :raises ListError: when the list could not be read whole
        """


class EngineOrders(typing.Protocol):
    """Gives orders to model engines."""

    def change_role(
        self, endpoint: fleets.Endpoint, role: str, holder: str, fence: int
    ) -> None:
        """Orders an engine to take a role; returns once it accepted.

        :param holder: who orders
        :param fence: fencing token; rises with each leader
        :raises OrderError: when it is not known to have accepted
        """
