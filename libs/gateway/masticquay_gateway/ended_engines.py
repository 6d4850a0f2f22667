"""The ends of engines that this host has reported."""

import collections
import threading
import time

from masticquay_routing import harmful_prompts
from masticquay_routing import placement_messages

MAX_REPORTS = 50


class EndedEngines:
    """Keeps recent reports, to tell them to the next leader, too."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._reports: collections.deque[
            tuple[float, placement_messages.EndpointTrouble]
        ] = collections.deque(maxlen=MAX_REPORTS)

    def add(self, report: placement_messages.EndpointTrouble) -> None:
        """Adds a report that is being sent to the present leader."""
        with self._lock:
            self._reports.append((time.monotonic(), report))

    def recent(self) -> list[placement_messages.EndpointTrouble]:
        """Returns the recent reports with their present age."""
        now_s = time.monotonic()
        with self._lock:
            reports = list(self._reports)
        recent = []
        for reported_s, report in reports:
            age_ms = max(1, int((now_s - reported_s) * 1000))
            if age_ms <= harmful_prompts.EVIDENCE_OF_ENDS_MS:
                fields = {n: getattr(report, n) for n in report.__slots__}
                fields['age_ms'] = age_ms
                recent.append(placement_messages.EndpointTrouble(**fields))
        return recent
