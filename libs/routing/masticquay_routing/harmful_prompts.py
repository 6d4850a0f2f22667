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

An end while an engine was reading a prompt for others (prefill) counts like
one while it was writing, but only a completed prefill clears it: an engine
that reads the prompt itself and writes the answer proves nothing about
prefill. A prefill is too short to be seen running when others end, so one that
was completed a moment before clears, too. A new leader knows of none: of what
hosts tell it again, ends at one time count once.

A whole request may end endpoints in the same way, of plain services too. It
has no parts, and its key tells it when it comes again. After the first end it
is a suspect, of which one copy runs at a time.
"""

import collections

from masticquay_routing import end_evidence

# An engine ends this soon after it began to write an answer, if that answer is
# the reason.
SUSPECT_MS = 1_000
# A part is quarantined after this many ends in a row without a survivor, if
# they came under this many different prompts.
MIN_ENDS = 4
MIN_PROMPTS = 2
# A single prompt is refused after this many ends.
MIN_ENDS_OF_PROMPT = 2
# A whole request is refused after this many ends: the first, and those of the
# trials that follow.
MIN_ENDS_OF_REQUEST = 3
# Begins the keys of whole requests.
REQUEST_PREFIX = 'request:'
# Suspects that hosts are told of, those with the latest ends.
MAX_SUSPECTS = 50
# Two parts that explain as many ends are told apart by the number of requests
# only if it differs by more than this.
RIVAL_REQUESTS = 2
# A prefill with a part that was completed so long before an end clears it.
PREFILL_PROOF_MS = 5_000
MAX_PREFILLED = 5_000
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


class HarmfulPrompts:
    """Finds and quarantines what ends engines: parts, prompts or requests.

    :param min_ends_of_prompt: a single prompt, or a whole request, is
        quarantined after this many ends
    """

    __slots__ = ('_entries', '_with_ends', '_prefilled', '_min_ends_of_prompt')

    def __init__(self, min_ends_of_prompt: int = MIN_ENDS_OF_PROMPT) -> None:
        self._min_ends_of_prompt = min_ends_of_prompt
        # Those that ends are held against.
        self._with_ends: dict[str, end_evidence.Evidence] = {}
        # When a prefill with it was completed, the latest at the end.
        self._prefilled: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        # The one that was updated last is at the end.
        self._entries: collections.OrderedDict[str, end_evidence.Evidence] = (
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
                self._clear_ends(part, evidence, in_prefill=False)

    def add_prefilled(self, prompt: Prompt, now_ms: int) -> None:
        """Records that a prefill engine read a prompt and did not end."""
        for part in prompt.ids:
            self._prefilled.pop(part, None)
            self._prefilled[part] = now_ms
            evidence = self._entries.get(part)
            if evidence is not None:
                self._clear_ends(part, evidence, in_prefill=True)
        while len(self._prefilled) > MAX_PREFILLED:
            self._prefilled.popitem(last=False)

    def add_end(
        self,
        prompt: Prompt,
        endpoint_id: str,
        now_ms: int,
        age_ms: int = 0,
        is_trial: bool | None = None,
        in_prefill: bool = False,
    ) -> list[str]:
        """Records the end of an engine that began to write an answer.

        :param age_ms: how long ago it was reported first
        :param is_trial: whether the copy of a whole request was the only one
            that ran. Other copies make it a suspect and prove no more, as many
            endpoints may end at a time. None for prompts
        :param in_prefill: whether it was reading the prompt for another engine
        :returns: what is quarantined because of it
        """
        end = end_evidence.End(
            endpoint_id, now_ms - age_ms, in_prefill, age_ms > 0
        )
        if self._is_explained(end, prompt):
            return []
        if is_trial is False and self._has_ends(prompt.key):
            return []
        for part in prompt.ids:
            evidence = self._entry(part, now_ms)
            if self._was_prefilled_before(part, end):
                continue
            evidence.add_end(end, prompt.key)
            self._with_ends[part] = evidence
        found = []
        culprit = self._find_culprit(prompt)
        if culprit:
            found.append(culprit)
        if prompt.key:
            own = self._entries[prompt.key]
            needed = 1 if own.quarantine_ms else self._min_ends_of_prompt
            if len(own.ends) >= needed:
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

    def begin_trial(self, key: str, now_ms: int) -> int:
        """Lets one copy of a suspect run.

        :returns: 0 if it may run, else the time in ms until one may
        """
        self._drop_old(now_ms)
        evidence = self._entries.get(key)
        if evidence is None or not evidence.is_suspect(now_ms):
            return 0
        until_ms = max(evidence.quarantined_until_ms, evidence.probe_until_ms)
        if until_ms > now_ms:
            return until_ms - now_ms
        evidence.probe_until_ms = now_ms + PROBE_MS
        return 0

    def end_trial(self, key: str) -> None:
        """Records that the copy of a suspect that ran has ended."""
        evidence = self._entries.get(key)
        if evidence is not None:
            evidence.probe_until_ms = 0

    def suspects(self, now_ms: int) -> list[str]:
        """Returns what must be tried one at a time."""
        latest = sorted(
            (-evidence.suspected_ms, key)
            for key, evidence in self._entries.items()
            if evidence.is_suspect(now_ms)
            and evidence.quarantined_until_ms <= now_ms
        )
        return [key for _, key in latest[:MAX_SUSPECTS]]

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
            until_ms = now_ms + min(
                remaining_ms, end_evidence.MAX_QUARANTINE_MS
            )
            evidence.quarantined_until_ms = max(
                evidence.quarantined_until_ms, until_ms
            )
            evidence.quarantine_ms = max(
                evidence.quarantine_ms, end_evidence.QUARANTINE_MS
            )

    def _clear_ends(
        self, part: str, evidence: end_evidence.Evidence, in_prefill: bool
    ) -> None:
        evidence.clear_ends(in_prefill)
        if not evidence.ends:
            self._with_ends.pop(part, None)

    def _was_prefilled_before(self, part: str, end: end_evidence.End) -> bool:
        """Whether a prefill that was completed just before clears an end."""
        if not end.in_prefill or part not in self._prefilled:
            return False
        return end.reported_ms - self._prefilled[part] <= PREFILL_PROOF_MS

    def _has_ends(self, key: str) -> bool:
        evidence = self._entries.get(key)
        return evidence is not None and bool(evidence.ends)

    def _is_explained(self, end: end_evidence.End, prompt: Prompt) -> bool:
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

    def _entry(self, part: str, now_ms: int) -> end_evidence.Evidence:
        evidence = self._entries.pop(part, None) or end_evidence.Evidence()
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


def _is_guilty(evidence: end_evidence.Evidence) -> bool:
    if evidence.quarantine_ms:
        return len(evidence.ends) > 0
    return (
        len(evidence.ends) >= MIN_ENDS and len(evidence.prompts) >= MIN_PROMPTS
    )


def split_keys(
    quarantined: dict[str, int],
) -> tuple[dict[str, int], dict[str, int]]:
    """Returns the entries of prompts and their parts, and of requests."""
    requests = {
        key: ms
        for key, ms in quarantined.items()
        if key.startswith(REQUEST_PREFIX)
    }
    prompts = {
        key: ms for key, ms in quarantined.items() if key not in requests
    }
    return prompts, requests
