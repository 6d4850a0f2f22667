"""The model requests of this host that have not ended."""

import random
import threading

from masticquay_routing import fleets
from masticquay_routing import held_requests
from masticquay_routing import messages
from masticquay_routing import placement_messages

# The first number is random, so that a restarted host uses others.
NUMBER_BITS = 40


class RequestPlacement:
    """The engines assigned to a model request.

    :param prefill: None if the decode engine runs the prefill itself
    :param local: whether this host placed the request without the leader
    :param prefill_ms: expected duration of the prefill
    """

    __slots__ = ('prefill', 'decode', 'request', 'local', 'prefill_ms')

    def __init__(
        self,
        prefill: fleets.Endpoint | None,
        decode: fleets.Endpoint,
        request: placement_messages.Admit,
        local: bool,
        prefill_ms: int = 0,
    ):
        self.prefill_ms = prefill_ms
        self.prefill = prefill
        self.decode = decode
        self.request = request
        self.local = local


class PlacedRequests:
    """Numbers requests and keeps their placements until they end."""

    __slots__ = ('_lock', '_newest_number', '_placements')

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._newest_number = random.getrandbits(NUMBER_BITS)
        # None while a request is not placed.
        self._placements: dict[int, RequestPlacement | None] = {}

    def begin(self) -> int:
        """Returns the number of a new request, which has not ended."""
        with self._lock:
            self._newest_number += 1
            self._placements[self._newest_number] = None
            return self._newest_number

    def add(self, placement: RequestPlacement) -> None:
        """Adds the placement of a request."""
        with self._lock:
            self._placements[placement.request.number] = placement

    def end(self, number: int) -> None:
        """Removes a request that was refused or has ended."""
        with self._lock:
            self._placements.pop(number, None)

    def running(self) -> list[messages.Running]:
        """Returns the requests that are placed."""
        with self._lock:
            current = [p for p in self._placements.values() if p is not None]
        return [
            messages.Running(
                placement.request.number,
                placement.request.service,
                placement.decode.endpoint_id,
                placement.request.prompt_tokens
                + placement.request.output_tokens,
                placement.request.prompt_tokens,
            )
            for placement in current
        ]

    def held(self) -> held_requests.HeldRequests:
        """Returns the numbers of the requests that have not ended."""
        with self._lock:
            return held_requests.HeldRequests(
                self._newest_number, list(self._placements)
            )
