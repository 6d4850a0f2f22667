"""Intents of non-idempotent calls, recorded in the replicated log."""

import logging
import threading

from masticquay_entry import refusals
from masticquay_membership import errors
from masticquay_membership import intent_messages
from masticquay_membership import protocols

LOG = logging.getLogger(__name__)

BEGIN_TIMEOUT_MS = 2_000
FINISH_TIMEOUT_MS = 1_000
RETRY_INTERVAL_MS = 250
RETRY_AFTER_MS = 1_000

# Workspace and idempotency key.
IntentKey = tuple[str, str]


class IntentRecorder:
    """Begins and finishes intents; retries finishes that failed.

    On this host, an idempotency key is taken by one call at a time, from
    its begin until control has confirmed its finish.
    """

    def __init__(self, membership: protocols.Membership):
        self._membership = membership
        self._active: dict[IntentKey, intent_messages.BeginIntent] = {}
        self._unconfirmed: dict[IntentKey, intent_messages.FinishIntent] = {}
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name='intents', daemon=True
        )

    def start(self) -> None:
        """Starts the thread that retries unconfirmed finishes."""
        self._thread.start()

    def stop(self) -> None:
        """Tries the unconfirmed finishes once more and stops."""
        self._stopped = True
        self._wake.set()
        self._thread.join()

    @property
    def unconfirmed_count(self) -> int:
        """The number of finishes that control has not confirmed."""
        return len(self._unconfirmed)

    def begin(
        self, workspace: str, idempotency_key: str, request_digest: bytes
    ) -> intent_messages.IntentState:
        """Records the intent to make a call.

        :returns: what is known of the call; it may be sent only if the
            state is ``begun``
        :raises Refusal: when control did not confirm the intent; the call
            must not be sent
        """
        key = (workspace, idempotency_key)
        host = self._membership.host
        intent = intent_messages.BeginIntent(
            workspace,
            idempotency_key,
            request_digest,
            host.name,
            host.incarnation,
        )
        with self._lock:
            if key in self._active:
                return self._describe_active(key, request_digest)
            self._active[key] = intent
        try:
            state = self._membership.begin_intent(intent, BEGIN_TIMEOUT_MS)
        except errors.RefusedError as cause:
            self._forget(key)
            raise _not_recorded() from cause
        except errors.MembershipError as cause:
            # Control may have recorded the intent. As the call is not made,
            # finishing it as not run frees the idempotency key.
            self._retry_later(key, intent_messages.OUTCOME_NOT_RUN, None)
            raise _not_recorded() from cause
        if state.state != intent_messages.INTENT_BEGUN:
            self._forget(key)
        return state

    def finish(
        self,
        workspace: str,
        idempotency_key: str,
        outcome: str,
        answer: intent_messages.StoredAnswer | None,
    ) -> None:
        """Records the outcome of a call.

        When control cannot be reached, the thread retries later.
        """
        key = (workspace, idempotency_key)
        if self._try_finish(self._make_finish(key, outcome, answer)):
            self._forget(key)
        else:
            self._retry_later(key, outcome, answer)

    def _describe_active(
        self, key: IntentKey, request_digest: bytes
    ) -> intent_messages.IntentState:
        if self._active[key].request_digest != request_digest:
            return intent_messages.IntentState(intent_messages.INTENT_MISMATCH)
        return intent_messages.IntentState(intent_messages.INTENT_IN_PROGRESS)

    def _make_finish(
        self,
        key: IntentKey,
        outcome: str,
        answer: intent_messages.StoredAnswer | None,
    ) -> intent_messages.FinishIntent:
        intent = self._active[key]
        return intent_messages.FinishIntent(
            *key, intent.host, intent.incarnation, outcome, answer
        )

    def _forget(self, key: IntentKey) -> None:
        with self._lock:
            self._active.pop(key, None)
            self._unconfirmed.pop(key, None)

    def _retry_later(
        self,
        key: IntentKey,
        outcome: str,
        answer: intent_messages.StoredAnswer | None,
    ) -> None:
        with self._lock:
            self._unconfirmed[key] = self._make_finish(key, outcome, answer)
        self._wake.set()

    def _try_finish(self, finish: intent_messages.FinishIntent) -> bool:
        """Returns whether the finish needs no further try.

        That is when control confirmed it, or refused it because it has no
        such call any more.
        """
        try:
            self._membership.finish_intent(finish, FINISH_TIMEOUT_MS)
        except errors.RefusedError:
            return True
        except errors.MembershipError:
            return False
        return True

    def _run(self) -> None:
        while not self._stopped:
            self._wake.wait(
                RETRY_INTERVAL_MS / 1000 if self._unconfirmed else None
            )
            self._wake.clear()
            try:
                self._retry_unconfirmed()
            except Exception:
                LOG.exception('retrying unconfirmed intent outcomes failed')

    def _retry_unconfirmed(self) -> None:
        with self._lock:
            unconfirmed = list(self._unconfirmed.items())
        for key, finish in unconfirmed:
            if not self._try_finish(finish):
                return
            self._forget(key)


def _not_recorded() -> refusals.Refusal:
    return refusals.Refusal(
        503,
        'not-recorded',
        'the call could not be recorded, so it was not made',
        retry_after_ms=RETRY_AFTER_MS,
    )
