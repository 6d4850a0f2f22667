"""Reservations of network link time for KV cache transfers."""


class Link:
    """One endpoint's network link; it runs one transfer at a time.

    :param rate_bytes_per_s: its bandwidth, 0 for unlimited
    """

    __slots__ = ('rate_bytes_per_s', '_free_at_ms')

    def __init__(self, rate_bytes_per_s: int):
        self.rate_bytes_per_s = rate_bytes_per_s
        self._free_at_ms = 0.0

    def duration_ms(self, size_bytes: int) -> float:
        """Returns how long a transfer takes on this link."""
        if not self.rate_bytes_per_s:
            return 0.0
        return size_bytes * 1000 / self.rate_bytes_per_s

    def earliest_start_ms(self, start_ms: float) -> float:
        """Returns the earliest start of a transfer from ``start_ms`` on."""
        return max(start_ms, self._free_at_ms)

    def reserve(self, start_ms: float, duration_ms: float) -> None:
        """Reserves the link for a transfer, after those reserved before."""
        self._free_at_ms = max(start_ms, self._free_at_ms) + duration_ms


def transfer_end_ms(
    source: Link, target: Link, size_bytes: int, start_ms: float
) -> float:
    """Returns when a transfer over two links would end."""
    begin_ms = target.earliest_start_ms(source.earliest_start_ms(start_ms))
    return begin_ms + transfer_duration_ms(source, target, size_bytes)


def transfer_duration_ms(source: Link, target: Link, size_bytes: int) -> float:
    """Returns how long a transfer takes at the slower link's bandwidth."""
    return max(source.duration_ms(size_bytes), target.duration_ms(size_bytes))


def reserve_transfer(
    source: Link, target: Link, size_bytes: int, start_ms: float
) -> float:
    """Reserves both links for a transfer; returns its duration."""
    duration_ms = transfer_duration_ms(source, target, size_bytes)
    begin_ms = target.earliest_start_ms(source.earliest_start_ms(start_ms))
    source.reserve(begin_ms, duration_ms)
    target.reserve(begin_ms, duration_ms)
    return duration_ms
