"""The engines of a pool that may get requests."""

import random

from masticquay_routing import engine_states
from masticquay_routing import fleets


class UsableEngines:
    """The engines that may get requests at one moment, by role.

    :param randomness: shuffles the engines, None to keep their order
    """

    __slots__ = ('prefills', 'decodes')

    def __init__(
        self,
        engines: dict[str, engine_states.EngineState],
        now_ms: int,
        randomness: random.Random | None = None,
    ):
        usable = [e for e in engines.values() if e.is_usable(now_ms)]
        if randomness is not None:
            randomness.shuffle(usable)
        self.prefills = [
            e for e in usable if e.endpoint.role == fleets.ROLE_PREFILL
        ]
        self.decodes = [
            e for e in usable if e.endpoint.role == fleets.ROLE_DECODE
        ]
