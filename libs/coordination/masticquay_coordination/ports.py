"""Interfaces that the platform implements for the control daemon."""

import typing

from masticquay_routing import fleets


class EndpointLister(typing.Protocol):
    """Reads the platform's list of endpoints."""

    def read(self) -> list[fleets.Endpoint]:
        """Returns all endpoints on the list.

        :raises ListError: when the list could not be read completely
        """


class EngineOrders(typing.Protocol):
    """Sends orders to model engines."""

    def change_role(
        self,
        endpoint: fleets.Endpoint,
        role: str,
        holder: str,
        fence: int,
        may_send: typing.Callable[[], bool],
    ) -> None:
        """Orders an engine to change its role; returns once it accepted.

        :param holder: name of the control replica that sends the order
        :param fence: the fencing number, higher for each new leader
        :param may_send: asked right before the order goes out; the order is
            given up if it says no
        :raises OrderError: when the engine may not have accepted the order
        """
