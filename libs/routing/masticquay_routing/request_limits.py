"""Limits on the requests that engines get, as a pool sees them."""

import typing


class RequestLimits(typing.Protocol):
    """The limits that engines name on the requests they get."""

    def has_room(self, endpoint_id: str, now_ms: int) -> bool:
        """Whether a request may be placed on an engine now."""

    def charge(self, endpoint_id: str, now_ms: int) -> None:
        """Counts a request that is placed on an engine."""


class NoLimits:
    """Limits of engines that name none."""

    def has_room(self, endpoint_id: str, now_ms: int) -> bool:
        """Whether a request may be placed on an engine now."""
        return True

    def charge(self, endpoint_id: str, now_ms: int) -> None:
        """Counts a request that is placed on an engine."""
