"""The table of non-idempotent calls and their outcomes, by idempotency key."""

import collections
import typing

from masticquay_membership import intent_messages
from masticquay_membership import messages as membership_messages
from masticquay_wire import messages
from masticquay_wire import records

RETENTION_MS = 24 * 3_600_000
# The table refuses new calls once it reaches either limit.
MAX_INTENTS = 100_000
MAX_TOTAL_ANSWER_BYTES = 64 * 1024 * 1024

IsLive = typing.Callable[[str, int], bool]


class Intent(records.Record):
    """A non-idempotent call and its outcome.

    :param request_digest: the SHA-256 of method, path and body
    :param call_number: distinguishes the calls of one incarnation, from 1; 0
        if the host's session did not number the call
    :param stamp_ms: logical time of the last change, see ``commands.Command``
    :param outcome: an ``OUTCOME_*`` value, empty while the call is in progress
    :param answer: the stored response, if the call ran
    """

    __slots__ = (
        'workspace',
        'idempotency_key',
        'request_digest',
        'host',
        'incarnation',
        'call_number',
        'stamp_ms',
        'outcome',
        'answer',
    )

    def __init__(
        self,
        workspace: str,
        idempotency_key: str,
        request_digest: bytes,
        host: str,
        incarnation: int,
        call_number: int,
        stamp_ms: int,
        outcome: str = '',
        answer: intent_messages.StoredAnswer | None = None,
    ):
        self.workspace = workspace
        self.idempotency_key = idempotency_key
        self.request_digest = request_digest
        self.host = host
        self.incarnation = incarnation
        self.call_number = call_number
        self.stamp_ms = stamp_ms
        self.outcome = outcome
        self.answer = answer

    def is_same_call(
        self,
        message: intent_messages.BeginIntent | intent_messages.FinishIntent,
    ) -> bool:
        """Whether a message is about this call of this host."""
        return (
            self.host == message.host
            and self.incarnation == message.incarnation
            and self.call_number == message.call_number
        )


class IntentTable:
    """Lets each call begin at most once and stores its outcome.

    A call in progress counts as unknown once the incarnation that made it is
    out of the view. Intents expire ``RETENTION_MS`` of logical time after
    their last change, except calls in progress at a live host.

    :param is_live: tells whether an incarnation of a host is in the view
    """

    def __init__(self, is_live: IsLive) -> None:
        self._is_live = is_live
        self._intents: collections.OrderedDict[tuple[str, str], Intent] = (
            collections.OrderedDict()
        )
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._intents)

    def begin(
        self, stamp_ms: int, command: intent_messages.BeginIntent
    ) -> messages.Message:
        """Begins a call, or returns the state of the call with its key.

        :returns: an IntentState, or a Failure: ``evicted`` if the host is not
            in the view, ``full`` if the table is full, ``stale`` if this call
            or a later one of the same host was finished as not run
        """
        self._expire(stamp_ms)
        if not self._is_live(command.host, command.incarnation):
            return messages.Failure(
                membership_messages.CODE_EVICTED, 'the host is not in the view'
            )
        key = (command.workspace, command.idempotency_key)
        known = self._intents.get(key)
        if known is not None and not self._may_replace(known, command):
            return self._state_of(known, command)
        if known is None and self._is_full():
            return messages.Failure(
                membership_messages.CODE_FULL,
                'too many intents or answer bytes are stored',
            )
        self._put(
            Intent(
                command.workspace,
                command.idempotency_key,
                command.request_digest,
                command.host,
                command.incarnation,
                command.call_number,
                stamp_ms,
            )
        )
        return intent_messages.IntentState(intent_messages.INTENT_BEGUN)

    def finish(
        self, stamp_ms: int, command: intent_messages.FinishIntent
    ) -> messages.Message:
        """Stores the outcome of a call.

        A later outcome replaces the stored one only if that is ``unknown``;
        otherwise it is ignored.

        :returns: Done, or a Failure ``stale`` if the call has no intent under
            its key
        """
        key = (command.workspace, command.idempotency_key)
        known = self._intents.get(key)
        if (
            known is None
            and command.outcome == intent_messages.OUTCOME_NOT_RUN
        ):
            self._mark_not_run(stamp_ms, command)
            return messages.Done()
        if known is None or not known.is_same_call(command):
            return messages.Failure(
                membership_messages.CODE_STALE,
                'no intent of this call is stored under its key',
            )
        if known.outcome in ('', intent_messages.OUTCOME_UNKNOWN):
            known.outcome = command.outcome
            known.answer = command.answer
            known.stamp_ms = stamp_ms
            self._answer_bytes += _body_bytes(command.answer)
            self._intents.move_to_end(key)
        return messages.Done()

    def take_snapshot(self) -> list[Intent]:
        """Returns all intents, the least recently changed first."""
        return list(self._intents.values())

    def restore(self, intents: list[Intent]) -> None:
        """Replaces all intents."""
        self._intents = collections.OrderedDict(
            ((intent.workspace, intent.idempotency_key), intent)
            for intent in intents
        )
        self._answer_bytes = sum(_body_bytes(i.answer) for i in intents)

    def _mark_not_run(
        self, stamp_ms: int, command: intent_messages.FinishIntent
    ) -> None:
        """Records a call that did not run and has no intent.

        A begin of this call that arrives later, out of order, is refused.
        """
        self._put(
            Intent(
                command.workspace,
                command.idempotency_key,
                b'',
                command.host,
                command.incarnation,
                command.call_number,
                stamp_ms,
                intent_messages.OUTCOME_NOT_RUN,
            )
        )

    def _may_replace(
        self, known: Intent, command: intent_messages.BeginIntent
    ) -> bool:
        """Whether a call may take the key of a known one that did not run.

        A late or resent begin of that call, or of an earlier call of the same
        host, may not.
        """
        if known.outcome != intent_messages.OUTCOME_NOT_RUN:
            return False
        out_of_order = (
            known.host == command.host
            and known.incarnation == command.incarnation
            and command.call_number <= known.call_number
        )
        return not out_of_order

    def _state_of(
        self, known: Intent, command: intent_messages.BeginIntent
    ) -> messages.Message:
        """Returns the reply to a begin whose key belongs to a known call."""
        if known.outcome == intent_messages.OUTCOME_NOT_RUN:
            return messages.Failure(
                membership_messages.CODE_STALE,
                'this call was already finished',
            )
        if known.request_digest != command.request_digest:
            return intent_messages.IntentState(intent_messages.INTENT_MISMATCH)
        if known.outcome == intent_messages.OUTCOME_RAN:
            return intent_messages.IntentState(
                intent_messages.INTENT_FINISHED, known.answer
            )
        if known.outcome == '' and known.is_same_call(command):
            # A begin with a number is a resend. One without a number may be
            # another call of the same host.
            if command.call_number:
                return intent_messages.IntentState(
                    intent_messages.INTENT_BEGUN
                )
            return intent_messages.IntentState(
                intent_messages.INTENT_IN_PROGRESS
            )
        if known.outcome == '' and self._is_live(
            known.host, known.incarnation
        ):
            return intent_messages.IntentState(
                intent_messages.INTENT_IN_PROGRESS
            )
        return intent_messages.IntentState(intent_messages.INTENT_UNKNOWN)

    def _put(self, intent: Intent) -> None:
        key = (intent.workspace, intent.idempotency_key)
        self._intents[key] = intent
        self._intents.move_to_end(key)

    def _is_full(self) -> bool:
        return (
            len(self._intents) >= MAX_INTENTS
            or self._answer_bytes >= MAX_TOTAL_ANSWER_BYTES
        )

    def _expire(self, stamp_ms: int) -> None:
        while self._intents:
            key, oldest = next(iter(self._intents.items()))
            if stamp_ms - oldest.stamp_ms < RETENTION_MS:
                return
            if oldest.outcome == '' and self._is_live(
                oldest.host, oldest.incarnation
            ):
                # Keeps a call in progress for another retention time.
                oldest.stamp_ms = stamp_ms
                self._intents.move_to_end(key)
                continue
            del self._intents[key]
            self._answer_bytes -= _body_bytes(oldest.answer)


def _body_bytes(answer: intent_messages.StoredAnswer | None) -> int:
    return len(answer.body) if answer is not None else 0
