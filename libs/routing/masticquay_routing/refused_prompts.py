"""Recently refused prompts."""

import collections

RETENTION_MS = 20_000
MAX_PROMPTS = 10_000


class RefusedPrompts:
    """A bounded set of the prompts of recently refused requests.

    A retry has a new request number, but the same prompt, so retries are
    recognized by the prompt.
    """

    __slots__ = ('_refused_at_ms',)

    def __init__(self) -> None:
        self._refused_at_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def __contains__(self, prompt_key: str) -> bool:
        return prompt_key in self._refused_at_ms

    def add(self, prompt_key: str, now_ms: int) -> None:
        """Adds a refused prompt and drops expired ones.

        :param prompt_key: identifies the prompt; nothing is added if empty
        """
        if prompt_key:
            self._refused_at_ms[prompt_key] = now_ms
        oldest_kept_ms = now_ms - RETENTION_MS
        while self._refused_at_ms and (
            len(self._refused_at_ms) > MAX_PROMPTS
            or next(iter(self._refused_at_ms.values())) < oldest_kept_ms
        ):
            self._refused_at_ms.popitem(last=False)
