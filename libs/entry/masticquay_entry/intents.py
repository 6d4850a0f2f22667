"""Records of non-idempotent calls, kept by control."""

import logging
import threading

from masticquay_entry import refusals
from masticquay_membership import errors
from masticquay_membership import messages
from masticquay_membership import protocols
from masticquay_wire import clocks

LOG = logging.getLogger(__name__)

BEGIN_TIMEOUT_MS = 2_000
FINISH_TIMEOUT_MS = 1_000
RETRY_MS = 250
RETRY_AFTER_MS = 1_000
# A record that was sent without an answer may still arrive this much later.
LATE_RECORD_MS = 30_000

Key = tuple[str, str]


class IntentKeeper:
    """Begins and finishes intents, and repeats unconfirmed finishes.

    A key with an unconfirmed record is closed on this host: a late record of
    the earlier call must not end the intent of a later one.
    """

    def __init__(self, membership: protocols.Membership, clock: clocks.Clock):
        self._membership = membership
        self._clock = clock
        self._unconfirmed: dict[Key, messages.FinishIntent] = {}
        self._closed_until_ms: dict[Key, int] = {}
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name='intents', daemon=True
        )

    def start(self) -> None:
        """Starts the thread that repeats unconfirmed finishes."""
        self._thread.start()

    def stop(self) -> None:
        """Tries each unconfirmed finish once more and stops."""
        self._stopped = True
        self._wake.set()
        self._thread.join()

    @property
    def unconfirmed_count(self) -> int:
        """How many finishes control has not confirmed."""
        return len(self._unconfirmed)

    def begin(
        self, workspace: str, idempotency_key: str, request_digest: bytes
    ) -> messages.IntentState:
        """Records that a call will be made.

        :returns: what is known of the call; only ``begun`` allows sending
        :raises Refusal: when control did not confirm; nothing may be sent
        """
        key = (workspace, idempotency_key)
        if self._is_closed(key):
            return messages.IntentState(messages.INTENT_IN_PROGRESS)
        host = self._membership.host
        intent = messages.BeginIntent(
            workspace,
            idempotency_key,
            request_digest,
            host.name,
            host.incarnation,
        )
        try:
            return self._membership.begin_intent(intent, BEGIN_TIMEOUT_MS)
        except errors.MembershipError as cause:
            finish = self._finish_of(key, messages.OUTCOME_NOT_RUN, None)
            self._repeat_later(key, finish)
            raise refusals.Refusal(
                503,
                'not-recorded',
                'the call could not be recorded, so it was not made',
                retry_after_ms=RETRY_AFTER_MS,
            ) from cause

    def finish(
        self,
        workspace: str,
        idempotency_key: str,
        outcome: str,
        answer: messages.StoredAnswer | None,
    ) -> None:
        """Records how a call ended, now or, when control is away, later."""
        key = (workspace, idempotency_key)
        finish = self._finish_of(key, outcome, answer)
        if not self._try_finish(finish):
            self._repeat_later(key, finish)

    def _finish_of(
        self, key: Key, outcome: str, answer: messages.StoredAnswer | None
    ) -> messages.FinishIntent:
        host = self._membership.host
        return messages.FinishIntent(
            *key, host.name, host.incarnation, outcome, answer
        )

    def _is_closed(self, key: Key) -> bool:
        now_ms = self._clock.now_ms()
        with self._lock:
            if key in self._unconfirmed:
                return True
            until_ms = self._closed_until_ms.get(key)
            if until_ms is None:
                return False
            if now_ms < until_ms:
                return True
            del self._closed_until_ms[key]
            return False

    def _repeat_later(self, key: Key, finish: messages.FinishIntent) -> None:
        with self._lock:
            self._unconfirmed[key] = finish
        self._wake.set()

    def _try_finish(self, finish: messages.FinishIntent) -> bool:
        try:
            self._membership.finish_intent(finish, FINISH_TIMEOUT_MS)
        except errors.MembershipError:
            return False
        return True

    def _run(self) -> None:
        while not self._stopped:
            self._wake.wait()
            self._wake.clear()
            while self._unconfirmed and not self._stopped:
                self._repeat_all()
                if self._unconfirmed:
                    self._wake.wait(RETRY_MS / 1000)
                    self._wake.clear()
        self._repeat_all()

    def _repeat_all(self) -> None:
        with self._lock:
            waiting = list(self._unconfirmed.items())
        for key, finish in waiting:
            if not self._try_finish(finish):
                return
            now_ms = self._clock.now_ms()
            with self._lock:
                self._drop_expired(now_ms)
                self._closed_until_ms[key] = now_ms + LATE_RECORD_MS
                del self._unconfirmed[key]

    def _drop_expired(self, now_ms: int) -> None:
        expired = [
            key
            for key, until_ms in self._closed_until_ms.items()
            if until_ms <= now_ms
        ]
        for key in expired:
            del self._closed_until_ms[key]
