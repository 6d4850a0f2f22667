"""The prompts of the requests that an owner has admitted."""

import logging

from masticquay_routing import harmful_prompts
from masticquay_routing import placement_messages
from masticquay_routing import queued_requests

LOG = logging.getLogger(__name__)


class _RunningPrompt:
    """The prompt of a request that waits or runs.

    :ivar began_ms: when its answer began, None before that
    """

    __slots__ = ('prompt', 'began_ms')

    def __init__(self, prompt: harmful_prompts.Prompt):
        self.prompt = prompt
        self.began_ms: int | None = None


class PromptWatch:
    """Finds prompts that end engines, from what hosts report of requests.

    The caller makes sure that only one thread uses it at a time.
    """

    __slots__ = ('_harmful', '_running')

    def __init__(self) -> None:
        self._harmful = harmful_prompts.HarmfulPrompts()
        self._running: dict[queued_requests.RequestKey, _RunningPrompt] = {}

    def wait_ms(self, request: placement_messages.Admit, now_ms: int) -> int:
        """Returns for how long a request is to be refused, 0 if it may run."""
        return self._harmful.wait_ms(_prompt_of(request), now_ms)

    def wait_ms_of(self, key: queued_requests.RequestKey, now_ms: int) -> int:
        """Returns the same for a request that was admitted."""
        running = self._running.get(key)
        return self._harmful.wait_ms(running.prompt, now_ms) if running else 0

    def admit(
        self,
        key: queued_requests.RequestKey,
        request: placement_messages.Admit,
        now_ms: int,
    ) -> None:
        """Records a request that may run."""
        prompt = _prompt_of(request)
        if not request.charged:
            self._harmful.add_request(prompt, now_ms)
        self._harmful.begin_probe(prompt, now_ms)
        self._running[key] = _RunningPrompt(prompt)

    def begin_answer(
        self, key: queued_requests.RequestKey, now_ms: int
    ) -> None:
        """Records that the first token of a request arrived."""
        running = self._running.get(key)
        if running is not None:
            running.began_ms = now_ms

    def finish_prefill(
        self, key: queued_requests.RequestKey, now_ms: int
    ) -> None:
        """Records that a prefill engine has read a request's prompt."""
        running = self._running.get(key)
        if running is not None:
            self._harmful.add_prefilled(running.prompt, now_ms)

    def finish(
        self, key: queued_requests.RequestKey, completed: bool = False
    ) -> None:
        """Records the end of a request.

        :param completed: whether its engine wrote the whole answer
        """
        running = self._running.pop(key, None)
        if running is not None and completed:
            self._harmful.add_survivor(running.prompt)

    def release_host(self, host: str) -> None:
        """Drops all requests of a host."""
        for key in [key for key in self._running if key[0] == host]:
            del self._running[key]

    def record_trouble(
        self, trouble: placement_messages.EndpointTrouble, now_ms: int
    ) -> bool:
        """Records a stream or a prefill that an engine broke off.

        :returns: whether something was quarantined because of it
        """
        prompt = _prompt_of(trouble)
        if trouble.written_ms >= harmful_prompts.SUSPECT_MS:
            self._harmful.add_survivor(prompt)
            return False
        if not trouble.has_ended and not trouble.ended_in_prefill:
            return False
        self._add_running_survivors(now_ms)
        quarantined = self._harmful.add_end(
            prompt,
            trouble.endpoint_id,
            now_ms,
            trouble.age_ms,
            in_prefill=trouble.ended_in_prefill,
        )
        for part in quarantined:
            LOG.warning(
                'prompts with a part are refused, as engines ended on them',
                extra={
                    'part': part,
                    'last_endpoint': trouble.endpoint_id,
                    'entry_host': trouble.host,
                    'written_ms': trouble.written_ms,
                    'in_prefill': trouble.ended_in_prefill,
                },
            )
        return bool(quarantined)

    def quarantined(self, now_ms: int) -> dict[str, int]:
        """Returns the parts to refuse, with the remaining time in ms."""
        return self._harmful.quarantined(now_ms)

    def adopt(self, quarantined: dict[str, int], now_ms: int) -> None:
        """Takes over the parts that an earlier leader let hosts refuse."""
        self._harmful.adopt(quarantined, now_ms)

    def _add_running_survivors(self, now_ms: int) -> None:
        """Clears the prompts that engines have been writing for a while."""
        began_before_ms = now_ms - harmful_prompts.SUSPECT_MS
        for running in self._running.values():
            began_ms = running.began_ms
            if began_ms is not None and began_ms <= began_before_ms:
                self._harmful.add_survivor(running.prompt)


def _prompt_of(
    message: placement_messages.Admit | placement_messages.EndpointTrouble,
) -> harmful_prompts.Prompt:
    return harmful_prompts.Prompt(message.prompt_key, message.prompt_parts)
