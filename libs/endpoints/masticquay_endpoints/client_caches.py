"""Cache of the clients of a bundle's endpoints."""

import threading

from masticquay_bundles import models
from masticquay_endpoints import engines
from masticquay_endpoints import protocols
from masticquay_endpoints import services


class ClientCache:
    """Creates one client per address and closes the clients it created."""

    def __init__(self) -> None:
        self._engines: dict[str, engines.HttpEngine] = {}
        self._services: dict[str, services.HttpService] = {}
        self._lock = threading.Lock()

    def engine(self, address: str) -> protocols.Engine:
        """Returns the client of the model engine at an address."""
        with self._lock:
            client = self._engines.get(address)
            if client is None:
                client = self._engines[address] = engines.HttpEngine(address)
            return client

    def service(self, address: str) -> protocols.Service:
        """Returns the client of the plain service at an address."""
        with self._lock:
            client = self._services.get(address)
            if client is None:
                client = services.HttpService(address)
                self._services[address] = client
            return client

    def retain(self, bundle: models.Bundle) -> None:
        """Removes and closes clients of endpoints that are not in the bundle.

        Calls in progress on these clients continue.
        """
        addresses = {endpoint.address for endpoint in bundle.endpoints}
        with self._lock:
            removed = []
            for clients in (self._engines, self._services):
                for address in set(clients) - addresses:
                    removed.append(clients.pop(address))
        for client in removed:
            client.close()

    def close(self) -> None:
        """Closes all clients."""
        with self._lock:
            clients = [*self._engines.values(), *self._services.values()]
            self._engines.clear()
            self._services.clear()
        for client in clients:
            client.close()
