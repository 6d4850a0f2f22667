"""Requests that may end the endpoints which run them, at this host."""

import collections
from concurrent import futures
import contextlib
import logging
import threading
import time
import types
import typing

from masticquay_gateway import jobs
from masticquay_gateway import links
from masticquay_gateway import quarantines
from masticquay_gateway import request_keys
from masticquay_routing import end_evidence
from masticquay_routing import endpoint_messages
from masticquay_routing import fleets
from masticquay_routing import harmful_prompts
from masticquay_wire import errors as wire_errors

LOG = logging.getLogger(__name__)

ASK_TIMEOUT_MS = 150
# A copy that has to wait for another one is told to return after this time at
# most, as that one usually ends soon.
MAX_TRIAL_RETURN_MS = 500
# A suspect that this host found counts until the leader has told all hosts.
OWN_SUSPECT_MS = 1_500
MAX_REPORTS = 50


class Trials(typing.Protocol):
    """Lets one copy of a suspect run at a time in the whole fleet."""

    @property
    def is_reachable(self) -> bool:
        """Whether it can be asked now."""

    def ask(self, key: str) -> int | None:
        """Returns when a copy may run, 0 for now; None without an answer."""

    def end(self, key: str, survived: bool) -> None:
        """Tells that a copy that was allowed to run has ended."""

    def report(self, ended: endpoint_messages.EndedUnderRequest) -> None:
        """Tells that an endpoint ended under a request."""


class LeaderTrials:
    """Asks and tells the leader."""

    def __init__(self, host: str, link: links.ControlLink):
        self._host = host
        self._link = link

    @property
    def is_reachable(self) -> bool:
        """Whether there is a leader."""
        return self._link.is_leader_reachable

    def ask(self, key: str) -> int | None:
        """Returns when a copy may run, 0 for now; None without an answer."""
        message = endpoint_messages.AskTrial(self._host, key)
        future = self._link.submit(message, ASK_TIMEOUT_MS)
        with contextlib.suppress(wire_errors.WireError, futures.TimeoutError):
            return future.result(ASK_TIMEOUT_MS / 1000).wait_ms
        return None

    def end(self, key: str, survived: bool) -> None:
        """Tells that a copy that was allowed to run has ended."""
        self._link.notify(
            endpoint_messages.TrialEnded(self._host, key, survived)
        )

    def report(self, ended: endpoint_messages.EndedUnderRequest) -> None:
        """Tells that an endpoint ended under a request."""
        self._link.notify(ended)


class WatchedAttempt:
    """One attempt at a request; to be used in ``with``.

    ``survived`` is to be set if an endpoint answers the attempt.

    :param key: empty if the request is no suspect
    :param wait_ms: for how long the request is to be refused, 0 if the attempt
        may be made
    """

    __slots__ = ('wait_ms', 'survived', '_key', '_watch')

    @property
    def is_trial(self) -> bool:
        """Whether no other copy of the request runs meanwhile."""
        return bool(self._key)

    def __init__(self, watch: 'RequestWatch', key: str = '', wait_ms: int = 0):
        self.wait_ms = wait_ms
        self.survived = False
        self._key = key
        self._watch = watch

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if self._key and not self.wait_ms:
            self._watch.end_trial(self._key, self.survived)


class RequestWatch:
    """Keeps requests that end endpoints from further ones."""

    def __init__(
        self, host: str, quarantine: quarantines.Quarantine, trials: Trials
    ):
        self._host = host
        self._quarantine = quarantine
        self._trials = trials
        self._lock = threading.Lock()
        self._suspects: set[str] = set()
        # The keys that this host found, with the time.
        self._own: dict[str, int] = {}
        # Decides while there is no leader.
        self._local = harmful_prompts.HarmfulPrompts(
            harmful_prompts.MIN_ENDS_OF_REQUEST
        )
        self._reports: collections.deque[
            tuple[int, endpoint_messages.EndedUnderRequest]
        ] = collections.deque(maxlen=MAX_REPORTS)

    def begin(self, job: jobs.Job) -> WatchedAttempt:
        """Begins an attempt, which may have to wait or must not be made."""
        if not (self._suspects or self._own or self._quarantine.has_requests):
            return WatchedAttempt(self)
        key = request_keys.key_of(job)
        wait_ms = self._quarantine.wait_ms_of(key)
        if wait_ms:
            return WatchedAttempt(self, key, wait_ms)
        if not self._is_suspect(key):
            return WatchedAttempt(self)
        return WatchedAttempt(self, key, self._begin_trial(key))

    def allows(self, job: jobs.Job, attempt: WatchedAttempt) -> bool:
        """Whether an attempt that has waited since may still be made.

        Other copies of the request may have ended endpoints meanwhile.
        """
        if not (self._suspects or self._own or self._quarantine.has_requests):
            return True
        key = request_keys.key_of(job)
        if self._quarantine.wait_ms_of(key):
            return False
        return attempt.is_trial or not self._is_suspect(key)

    def record_end(
        self, job: jobs.Job, endpoint: fleets.Endpoint, is_trial: bool
    ) -> str:
        """Records an endpoint that ended under a request.

        :param is_trial: whether no other copy of the request ran
        :returns: the key of the request
        """
        key = request_keys.key_of(job)
        now_ms = _now_ms()
        ended = endpoint_messages.EndedUnderRequest(
            self._host, endpoint.endpoint_id, key, is_trial
        )
        with self._lock:
            self._own[key] = now_ms
            self._reports.append((now_ms, ended))
            self._local.add_end(
                harmful_prompts.Prompt(key, []),
                endpoint.endpoint_id,
                now_ms,
                is_trial=is_trial,
            )
        self._trials.report(ended)
        return key

    def end_trial(self, key: str, survived: bool) -> None:
        """Records the outcome of an attempt at a suspect."""
        with self._lock:
            self._local.end_trial(key)
            if survived:
                self._local.add_survivor(harmful_prompts.Prompt(key, []))
                self._own.pop(key, None)
                self._suspects.discard(key)
        self._trials.end(key, survived)

    def apply_suspects(self, suspects: list[str]) -> None:
        """Replaces the suspects that the leader knows."""
        oldest_ms = _now_ms() - OWN_SUSPECT_MS
        with self._lock:
            self._suspects = set(suspects)
            for key, found_ms in list(self._own.items()):
                if found_ms < oldest_ms:
                    del self._own[key]

    def recent_ends(self) -> list[endpoint_messages.EndedUnderRequest]:
        """Returns the recent reports with their present age."""
        now_ms = _now_ms()
        with self._lock:
            reports = list(self._reports)
        return [
            endpoint_messages.EndedUnderRequest(
                ended.host,
                ended.endpoint_id,
                ended.key,
                ended.is_trial,
                max(1, now_ms - reported_ms),
            )
            for reported_ms, ended in reports
            if now_ms - reported_ms <= end_evidence.SUSPICION_MS
        ]

    def _is_suspect(self, key: str) -> bool:
        return key in self._suspects or key in self._own

    def _begin_trial(self, key: str) -> int:
        wait_ms = self._trials.ask(key) if self._trials.is_reachable else None
        if wait_ms is None:
            with self._lock:
                wait_ms = self._local.begin_trial(key, _now_ms())
        return min(wait_ms, MAX_TRIAL_RETURN_MS)


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
