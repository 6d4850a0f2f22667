"""Which prompts were refused a short while ago."""

import collections

# For how long, and of how many, a refusal is remembered.
MEMORY_MS = 20_000
MEMORY_SIZE = 10_000


class RefusedPrompts:
    """Remembers refused requests by their prompt.

    A caller that comes back asks under another id, but with the same prompt.
    """

    __slots__ = ('_refused_ms',)

    def __init__(self) -> None:
        self._refused_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def __contains__(self, prompt_key: str) -> bool:
        return prompt_key in self._refused_ms

    def note(self, prompt_key: str, now_ms: int) -> None:
        """Remembers a refusal for a while.

        :param prompt_key: empty if unknown; then nothing is remembered
        """
        if prompt_key:
            self._refused_ms[prompt_key] = now_ms
        oldest_ms = now_ms - MEMORY_MS
        while self._refused_ms and (
            len(self._refused_ms) > MEMORY_SIZE
            or next(iter(self._refused_ms.values())) < oldest_ms
        ):
            self._refused_ms.popitem(last=False)
