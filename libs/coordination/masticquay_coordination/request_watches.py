"""The requests under which endpoints of plain services ended."""

import logging
import threading

from masticquay_routing import endpoint_messages
from masticquay_routing import harmful_prompts
from masticquay_wire import clocks

LOG = logging.getLogger(__name__)


class RequestWatch:
    """Finds requests that end endpoints, from what hosts report.

    A suspect runs once at a time in the whole fleet, until an endpoint
    answers it or enough have ended.
    """

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._harmful = harmful_prompts.HarmfulPrompts(
            harmful_prompts.MIN_ENDS_OF_REQUEST
        )

    def record_end(self, ended: endpoint_messages.EndedUnderRequest) -> None:
        """Records the end of an endpoint under a request."""
        now_ms = self._clock.now_ms()
        with self._lock:
            quarantined = self._harmful.add_end(
                _prompt(ended.key),
                ended.endpoint_id,
                now_ms,
                ended.age_ms,
                ended.is_trial,
            )
        LOG.warning(
            'endpoint ended under a request',
            extra={
                'endpoint': ended.endpoint_id,
                'entry_host': ended.host,
                'request': ended.key,
                'is_trial': ended.is_trial,
                'age_ms': ended.age_ms,
            },
        )
        for key in quarantined:
            LOG.warning(
                'a request is refused, as endpoints ended under it',
                extra={'request': key, 'last_endpoint': ended.endpoint_id},
            )

    def begin_trial(
        self, ask: endpoint_messages.AskTrial
    ) -> endpoint_messages.TrialAnswer:
        """Lets a copy of a suspect run, or says when one may."""
        with self._lock:
            wait_ms = self._harmful.begin_trial(ask.key, self._clock.now_ms())
        LOG.info(
            'suspected request is tried'
            if not wait_ms
            else 'suspected request has to wait',
            extra={
                'request': ask.key,
                'entry_host': ask.host,
                'wait_ms': wait_ms,
            },
        )
        return endpoint_messages.TrialAnswer(wait_ms)

    def end_trial(self, ended: endpoint_messages.TrialEnded) -> None:
        """Records the outcome of a trial; a survivor is no suspect."""
        with self._lock:
            self._harmful.end_trial(ended.key)
            if ended.survived:
                self._harmful.add_survivor(_prompt(ended.key))
        if ended.survived:
            LOG.info(
                'suspected request is cleared',
                extra={'request': ended.key, 'entry_host': ended.host},
            )

    def suspects(self) -> list[str]:
        """Returns the keys of the suspects."""
        with self._lock:
            return self._harmful.suspects(self._clock.now_ms())

    def quarantined(self) -> dict[str, int]:
        """Returns the keys to refuse, with the remaining time in ms."""
        with self._lock:
            return self._harmful.quarantined(self._clock.now_ms())

    def adopt(self, quarantined: dict[str, int]) -> None:
        """Takes over the requests that an earlier leader let hosts refuse."""
        with self._lock:
            self._harmful.adopt(quarantined, self._clock.now_ms())

    def gauges(self) -> dict[str, float]:
        """Returns the gauges for the metrics."""
        return {
            'suspected_requests': len(self.suspects()),
            'quarantined_requests': len(self.quarantined()),
        }


def _prompt(key: str) -> harmful_prompts.Prompt:
    return harmful_prompts.Prompt(key, [])
