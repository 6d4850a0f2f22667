"""Prompts that end the engines which answer them.

A part that several prompts share may end each engine that begins to write an
answer on it. Such a part is found by what the requests have in common under
which engines ended, and is quarantined: further requests with it are refused.

Requests that an engine was only beginning to write when it ended are suspects.
One that an engine has written for a while, or completed, is a survivor: it
clears its parts, also of a quarantine. The part that explains the most ends is
quarantined; of those that explain equally many, the one that the fewest
requests have, as sound prompts share the others. What it explains is no longer
held against other parts.
"""

import collections
import typing

# An engine ends this soon after it began to write an answer, if that answer is
# the reason.
SUSPECT_MS = 1_000
# A part is quarantined after this many ends in a row without a survivor, if
# they came under this many different prompts.
MIN_ENDS = 4
MIN_PROMPTS = 2
# A single prompt is refused after this many ends.
MIN_ENDS_OF_PROMPT = 2
# Two parts that explain as many ends are told apart by the number of requests
# only if it differs by more than this.
RIVAL_REQUESTS = 2
# Reports on one engine within this time are of the same end.
SAME_END_MS = 2_000
QUARANTINE_MS = 180_000
MAX_QUARANTINE_MS = 3_600_000
# After a quarantine, one request at a time shows whether the part still ends
# engines.
PROBE_MS = 5_000
# Evidence that did not change for this long is dropped.
EVIDENCE_MS = 60_000
# Evidence of ends is kept for longer, for prompts that come rarely.
EVIDENCE_OF_ENDS_MS = 600_000
MAX_ENTRIES = 20_000


class Prompt:
    """What identifies a prompt and what it shares with others.

    :param key: identifies the prompt across the caller's attempts, empty if
        unknown
    :param parts: ids of the parts that other prompts may share, in order
    """

    __slots__ = ('key', 'parts')

    def __init__(self, key: str, parts: list[str]):
        self.key = key
        self.parts = parts

    @property
    def ids(self) -> list[str]:
        """The parts and then the prompt itself."""
        return [*self.parts, self.key] if self.key else self.parts


class _End:
    """The end of an engine."""

    __slots__ = ('endpoint_id', 'reported_ms')

    def __init__(self, endpoint_id: str, reported_ms: int):
        self.endpoint_id = endpoint_id
        self.reported_ms = reported_ms

    def is_same(self, other: typing.Self) -> bool:
        """Whether two reports are of the same end."""
        return (
            self.endpoint_id == other.endpoint_id
            and abs(self.reported_ms - other.reported_ms) <= SAME_END_MS
        )


class _Evidence:
    """What is known of one part, or of one prompt.

    :ivar request_count: requests that had it
    :ivar ends: ends of engines in a row without a survivor
    :ivar prompts: keys of the prompts under which they ended
    :ivar quarantine_ms: length of the last quarantine, 0 before the first
    """

    __slots__ = (
        'request_count',
        'ends',
        'prompts',
        'quarantine_ms',
        'quarantined_until_ms',
        'probe_until_ms',
        'updated_ms',
    )

    def __init__(self) -> None:
        self.request_count = 0
        self.updated_ms = 0
        self.quarantine_ms = 0
        self.quarantined_until_ms = 0
        self.probe_until_ms = 0
        self.clear()

    def clear(self) -> None:
        """Forgets the ends, after a survivor."""
        self.ends: list[_End] = []
        self.prompts: set[str] = set()

    def add_end(self, end: _End, key: str) -> None:
        """Adds the end of an engine unless it was reported before."""
        self.prompts.add(key)
        if not any(end.is_same(other) for other in self.ends):
            self.ends.append(end)

    def drop_ends(self, explained: list[_End]) -> None:
        """Drops the ends that another part explains."""
        self.ends = [
            end
            for end in self.ends
            if not any(end.is_same(other) for other in explained)
        ]

    def quarantine(self, now_ms: int) -> None:
        """Begins a quarantine, each twice as long as the one before."""
        doubled_ms = max(QUARANTINE_MS, 2 * self.quarantine_ms)
        self.quarantine_ms = min(MAX_QUARANTINE_MS, doubled_ms)
        self.quarantined_until_ms = now_ms + self.quarantine_ms
        self.prompts = set()


class HarmfulPrompts:
    """Finds and quarantines the parts of prompts that end engines."""

    __slots__ = ('_entries', '_with_ends')

    def __init__(self) -> None:
        # Those that ends are held against.
        self._with_ends: dict[str, _Evidence] = {}
        # The one that was updated last is at the end.
        self._entries: collections.OrderedDict[str, _Evidence] = (
            collections.OrderedDict()
        )

    def add_request(self, prompt: Prompt, now_ms: int) -> None:
        """Records a request that may run."""
        self._drop_old(now_ms)
        for part in prompt.parts:
            self._entry(part, now_ms).request_count += 1

    def add_survivor(self, prompt: Prompt) -> None:
        """Records that an engine wrote an answer for a while."""
        for part in prompt.ids:
            evidence = self._entries.get(part)
            if evidence is not None:
                evidence.clear()
                evidence.quarantine_ms = 0
                evidence.quarantined_until_ms = 0
                self._with_ends.pop(part, None)

    def add_end(
        self, prompt: Prompt, endpoint_id: str, now_ms: int, age_ms: int = 0
    ) -> list[str]:
        """Records the end of an engine that began to write an answer.

        :param age_ms: how long ago it was reported first
        :returns: what is quarantined because of it
        """
        end = _End(endpoint_id, now_ms - age_ms)
        if self._is_explained(end, prompt):
            return []
        for part in prompt.ids:
            evidence = self._entry(part, now_ms)
            evidence.add_end(end, prompt.key)
            self._with_ends[part] = evidence
        found = []
        culprit = self._find_culprit(prompt)
        if culprit:
            found.append(culprit)
        if prompt.key:
            own = self._entries[prompt.key]
            if len(own.ends) >= MIN_ENDS_OF_PROMPT:
                found.append(prompt.key)
        for part in found:
            self._quarantine(part, now_ms)
        return found

    def wait_ms(self, prompt: Prompt, now_ms: int) -> int:
        """Returns for how long a request is to be refused, 0 if it may run."""
        wait_ms = 0
        for part in prompt.ids:
            evidence = self._entries.get(part)
            if evidence is not None and evidence.quarantine_ms:
                until_ms = max(
                    evidence.quarantined_until_ms, evidence.probe_until_ms
                )
                wait_ms = max(wait_ms, until_ms - now_ms)
        return wait_ms

    def begin_probe(self, prompt: Prompt, now_ms: int) -> None:
        """Holds back other requests with a part that ended engines before."""
        for part in prompt.ids:
            evidence = self._entries.get(part)
            if evidence is not None and evidence.quarantine_ms:
                evidence.probe_until_ms = now_ms + PROBE_MS

    def quarantined(self, now_ms: int) -> dict[str, int]:
        """Returns the remaining time in ms of each quarantine."""
        return {
            part: evidence.quarantined_until_ms - now_ms
            for part, evidence in self._entries.items()
            if evidence.quarantined_until_ms > now_ms
        }

    def adopt(self, quarantined: dict[str, int], now_ms: int) -> None:
        """Takes over the quarantines of an earlier leader."""
        for part, remaining_ms in quarantined.items():
            evidence = self._entry(part, now_ms)
            until_ms = now_ms + min(remaining_ms, MAX_QUARANTINE_MS)
            evidence.quarantined_until_ms = max(
                evidence.quarantined_until_ms, until_ms
            )
            evidence.quarantine_ms = max(evidence.quarantine_ms, QUARANTINE_MS)

    def _is_explained(self, end: _End, prompt: Prompt) -> bool:
        """Whether an end came under a quarantined part of other prompts."""
        return any(
            any(end.is_same(other) for other in evidence.ends)
            for part, evidence in self._with_ends.items()
            if evidence.quarantined_until_ms > end.reported_ms
            and part not in prompt.ids
        )

    def _find_culprit(self, prompt: Prompt) -> str:
        """Returns the part to quarantine, empty if there is none.

        Of parts that always came together, it is the last one: prompts share
        their first parts with more others.
        """
        suspects = [
            (
                -len(self._entries[part].ends),
                self._entries[part].request_count,
                -position,
                part,
            )
            for position, part in enumerate(prompt.parts)
            if _is_guilty(self._entries[part])
        ]
        if not suspects:
            return ''
        culprit = min(suspects)[3]
        if self._is_rivalled(culprit, prompt):
            return ''
        return culprit

    def _is_rivalled(self, culprit: str, prompt: Prompt) -> bool:
        """Whether a part of other prompts explains as many ends.

        The report on the latest end may still be on its way for that part.
        """
        own = self._entries[culprit]
        if own.quarantine_ms:
            return False
        return any(
            len(evidence.ends) >= len(own.ends) - 1
            and evidence.request_count <= own.request_count + RIVAL_REQUESTS
            for part, evidence in self._with_ends.items()
            if part not in prompt.ids
            and evidence.quarantine_ms == 0
            and len(evidence.prompts) >= MIN_PROMPTS
        )

    def _quarantine(self, part: str, now_ms: int) -> None:
        culprit = self._entries[part]
        culprit.quarantine(now_ms)
        for other, evidence in list(self._with_ends.items()):
            if evidence is culprit:
                continue
            evidence.drop_ends(culprit.ends)
            if not evidence.ends:
                del self._with_ends[other]

    def _entry(self, part: str, now_ms: int) -> _Evidence:
        evidence = self._entries.pop(part, None) or _Evidence()
        evidence.updated_ms = now_ms
        self._entries[part] = evidence
        return evidence

    def _drop_old(self, now_ms: int) -> None:
        while self._entries:
            part, evidence = next(iter(self._entries.items()))
            kept_until_ms = max(
                evidence.updated_ms,
                evidence.quarantined_until_ms + evidence.quarantine_ms,
            )
            kept_ms = EVIDENCE_OF_ENDS_MS if evidence.ends else EVIDENCE_MS
            is_old = now_ms - kept_until_ms > kept_ms
            if not is_old and len(self._entries) < MAX_ENTRIES:
                return
            del self._entries[part]
            self._with_ends.pop(part, None)


def _is_guilty(evidence: _Evidence) -> bool:
    if evidence.quarantine_ms:
        return len(evidence.ends) > 0
    return (
        len(evidence.ends) >= MIN_ENDS and len(evidence.prompts) >= MIN_PROMPTS
    )
