"""The model requests that the leader knows of each host."""

from masticquay_routing import held_requests
from masticquay_routing import queued_requests


class _Account:
    """What a host said last of its requests."""

    __slots__ = ('newest', 'numbers')

    def __init__(self, held: held_requests.HeldRequests):
        self.newest = held.newest
        self.numbers = frozenset(held.numbers)

    def has_ended(self, number: int) -> bool:
        """Whether a request has ended at its host."""
        return number <= self.newest and number not in self.numbers


class HostRequests:
    """The requests that wait or are placed, by host.

    Finds those that have ended although the notice of their end was lost. The
    caller makes sure that only one thread uses it at a time.
    """

    __slots__ = ('_services', '_accounts')

    def __init__(self) -> None:
        # The service of each request, by host and number.
        self._services: dict[str, dict[int, str]] = {}
        self._accounts: dict[str, _Account] = {}

    def add(self, key: queued_requests.RequestKey, service: str) -> None:
        """Adds a request that waits or is placed."""
        host, number = key
        self._services.setdefault(host, {})[number] = service

    def remove(self, key: queued_requests.RequestKey) -> None:
        """Removes a request that was refused or has ended."""
        host, number = key
        numbers = self._services.get(host)
        if numbers is None:
            return
        numbers.pop(number, None)
        if not numbers:
            del self._services[host]

    def release_host(self, host: str) -> None:
        """Removes all requests of a host that restarted or was lost."""
        self._services.pop(host, None)
        self._accounts.pop(host, None)

    def has_ended(self, key: queued_requests.RequestKey) -> bool:
        """Whether a host has said that a request has ended."""
        host, number = key
        account = self._accounts.get(host)
        return account is not None and account.has_ended(number)

    def find_ended(
        self, host: str, held: held_requests.HeldRequests
    ) -> list[tuple[str, int]]:
        """Returns the service and number of each request that has ended.

        An account that is older than one before it changes nothing in what is
        known of requests that arrive late.
        """
        account = _Account(held)
        known = self._accounts.get(host)
        if known is None or known.newest <= account.newest:
            self._accounts[host] = account
        return [
            (service, number)
            for number, service in self._services.get(host, {}).items()
            if account.has_ended(number)
        ]
