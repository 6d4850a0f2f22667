"""Local placements on open routes while no pool owner can be reached."""

import random
import threading
import typing

from masticquay_bundles import models
from masticquay_scheduling import messages

# Low, because the pool owner does not count these requests.
MAX_PLACEMENTS = 8
PREFILL_TIMEOUT_MS = 5_000
TRANSFER_TIMEOUT_MS = 5_000
STALL_TIMEOUT_MS = 2_000


class LocalPlacer:
    """Picks random endpoints while this host holds no lease.

    A host that cannot reach the pool owners still serves open routes. It
    knows nothing of the endpoints' load: a full endpoint refuses.
    """

    def __init__(self, generator: random.Random):
        self._random = generator
        self._running: set[tuple[str, int]] = set()
        self._lock = threading.Lock()

    def place(
        self,
        endpoints: typing.Iterable[models.Endpoint],
        target: str,
        admit: messages.Admit,
    ) -> messages.Placement | None:
        """Returns a placement on a random endpoint, with an empty pool name.

        Returns None when no endpoint is left, or ``MAX_PLACEMENTS`` are in
        use.
        """
        names = [
            endpoint.name
            for endpoint in endpoints
            if _serves(endpoint, target)
            and endpoint.name not in admit.excluded
        ]
        with self._lock:
            if not names or len(self._running) >= MAX_PLACEMENTS:
                return None
            self._running.add((str(admit.request), admit.attempt))
            chosen = self._random.choice(names)
        return messages.Placement(
            '',
            admit.request,
            admit.attempt,
            '',
            chosen,
            0,
            PREFILL_TIMEOUT_MS,
            TRANSFER_TIMEOUT_MS,
            STALL_TIMEOUT_MS,
            admit.prompt_tokens + admit.max_output_tokens,
            admit.workspace,
            admit.class_name,
        )

    def finish(self, finished: messages.Finished) -> None:
        """Ends the placement of an attempt."""
        with self._lock:
            self._running.discard((str(finished.request), finished.attempt))


def _serves(endpoint: models.Endpoint, target: str) -> bool:
    if endpoint.kind == models.KIND_SERVICE:
        return endpoint.service == target
    return endpoint.model == target and models.ROLE_DECODE in endpoint.roles
