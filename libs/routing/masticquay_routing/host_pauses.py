"""The pauses that endpoints asked of single hosts, at the leader."""

_NONE: frozenset[str] = frozenset()


class HostPauses:
    """When each pausing endpoint may get requests of each host again."""

    __slots__ = ('_until_ms',)

    def __init__(self) -> None:
        self._until_ms: dict[str, dict[str, int]] = {}

    def add(self, host: str, endpoint_id: str, until_ms: int) -> None:
        """Records what a host has told last of an endpoint."""
        self._until_ms.setdefault(host, {})[endpoint_id] = until_ms

    def ids(self, host: str, now_ms: int) -> frozenset[str]:
        """Returns the endpoints that must get no requests of a host now."""
        until_ms = self._until_ms.get(host)
        if until_ms is None:
            return _NONE
        return frozenset(
            endpoint_id
            for endpoint_id, end_ms in until_ms.items()
            if end_ms > now_ms
        )

    def first_to_end(
        self, host: str, endpoint_ids: set[str], now_ms: int
    ) -> tuple[str, int] | None:
        """Returns the endpoint that takes requests of a host again first.

        :param endpoint_ids: those to choose from
        :returns: its id and until when it pauses; None if none of them does
        """
        pausing_ids = self.ids(host, now_ms) & endpoint_ids
        if not pausing_ids:
            return None
        until_ms = self._until_ms[host]
        first_id = min(pausing_ids, key=lambda e: until_ms[e])
        return first_id, until_ms[first_id]

    def drop_host(self, host: str) -> None:
        """Forgets the pauses of a host that restarted or was lost."""
        self._until_ms.pop(host, None)

    def expire(self, now_ms: int) -> None:
        """Forgets the pauses that are over."""
        for host, until_ms in list(self._until_ms.items()):
            for endpoint_id, end_ms in list(until_ms.items()):
                if end_ms <= now_ms:
                    del until_ms[endpoint_id]
            if not until_ms:
                del self._until_ms[host]
