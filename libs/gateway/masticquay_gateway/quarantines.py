"""Prompts and requests that this host refuses as endpoints ended on them."""

import threading
import time

from masticquay_gateway import ports
from masticquay_routing import harmful_prompts


class Quarantine:
    """The parts of prompts that the leader lets all hosts refuse."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._until_ms: dict[str, int] = {}
        self._has_requests = False

    def apply(self, quarantined: dict[str, int]) -> None:
        """Replaces the quarantined parts.

        :param quarantined: the remaining time in ms of each
        """
        now_ms = _now_ms()
        until_ms = {part: now_ms + ms for part, ms in quarantined.items()}
        with self._lock:
            self._until_ms = until_ms
            self._has_requests = bool(harmful_prompts.split_keys(until_ms)[1])

    @property
    def has_requests(self) -> bool:
        """Whether whole requests are refused."""
        return self._has_requests

    def wait_ms_of(self, key: str) -> int:
        """Returns for how long a whole request is to be refused."""
        with self._lock:
            return max(0, self._until_ms.get(key, 0) - _now_ms())

    def remaining(self) -> dict[str, int]:
        """Returns the quarantined parts with the remaining time in ms."""
        now_ms = _now_ms()
        with self._lock:
            return {
                part: until_ms - now_ms
                for part, until_ms in self._until_ms.items()
                if until_ms > now_ms
            }

    def wait_ms(self, call: ports.Call) -> int:
        """Returns for how long a request is to be refused, 0 if it may run."""
        with self._lock:
            if not self._until_ms:
                return 0
            ids = harmful_prompts.Prompt(
                call.prompt_key, call.prompt_parts
            ).ids
            until_ms = max(self._until_ms.get(part, 0) for part in ids or [''])
        return max(0, until_ms - _now_ms())


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
