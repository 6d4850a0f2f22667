"""Continuous batching: each step generates a token for every sequence."""

import threading
import time

from masticquay_standins import answers
from masticquay_standins import faults
from masticquay_standins import journals
from masticquay_standins import kv_memories
from masticquay_standins import streams

# A finished sequence can still be resumed for this time.
FINISHED_RETENTION_MS = 5_000
# The ``silent`` and ``cut`` faults take effect after this number of tokens.
FAULT_AFTER_TOKENS = 3


class Sequence:
    """An answer that is being generated.

    ``finished_ms`` is the monotonic time at which the last token was
    generated, 0 before. ``repeats_tokens`` and ``cuts_stream`` tell whether
    the faults ``repeat`` and ``cut`` affect the sequence.

    :param first_index: the index of the first token to generate
    :param allocation: the KV memory that the sequence occupies
    """

    __slots__ = (
        'request_id',
        'attempt',
        'answer',
        'next_index',
        'allocation',
        'stream',
        'finished_ms',
        'repeats_tokens',
        'cuts_stream',
        'start_index',
    )

    def __init__(
        self,
        request_id: str,
        attempt: int,
        answer: answers.Answer,
        first_index: int,
        allocation: kv_memories.Allocation,
    ):
        self.request_id = request_id
        self.attempt = attempt
        self.answer = answer
        self.start_index = first_index
        self.next_index = first_index
        self.allocation = allocation
        self.stream = streams.EventStream(request_id, attempt)
        self.finished_ms = 0.0
        self.repeats_tokens = False
        self.cuts_stream = False


class Batch:
    """The sequences that an engine generates together.

    :param active_faults: the faults of the stand-in
    :param slots: the maximum number of running sequences
    :param step_ms: the time between tokens
    """

    def __init__(
        self,
        journal: journals.Journal,
        active_faults: faults.Faults,
        slots: int,
        step_ms: float,
    ):
        self._journal = journal
        self._faults = active_faults
        self.slots = slots
        self._step_ms = step_ms
        self._lock = threading.Condition()
        # By request id and attempt.
        self._sequences: dict[tuple[str, int], Sequence] = {}
        self._reserved_slots = 0
        self._closed = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts the generation loop."""
        self._thread.start()

    def close(self) -> None:
        """Stops the generation loop."""
        with self._lock:
            self._closed = True
            self._lock.notify_all()

    @property
    def used_slots(self) -> int:
        """The number of slots in use or reserved."""
        with self._lock:
            return self._count_running() + self._reserved_slots

    def reserve_slot(self) -> bool:
        """Reserves a slot for ``add``; returns False if all are taken."""
        with self._lock:
            if self._count_running() + self._reserved_slots >= self.slots:
                return False
            self._reserved_slots += 1
            return True

    def cancel_reservation(self) -> None:
        """Frees a reserved slot that is not used after all."""
        with self._lock:
            self._reserved_slots -= 1

    def add(self, sequence: Sequence) -> None:
        """Starts to generate a sequence in a slot that was reserved."""
        sequence.repeats_tokens = self._faults.consume('repeat')
        sequence.cuts_stream = self._faults.consume('cut')
        with self._lock:
            self._reserved_slots -= 1
            self._sequences[sequence.request_id, sequence.attempt] = sequence
            self._lock.notify_all()

    def resume(
        self, request_id: str, attempt: int, first_index: int
    ) -> streams.EventStream | None:
        """Sends a sequence again from an index, in a new stream.

        The previous stream is aborted.

        :returns: the new stream, or None if the sequence is unknown or
            starts after the index
        """
        with self._lock:
            sequence = self._sequences.get((request_id, attempt))
            if sequence is None or first_index < sequence.start_index:
                return None
            previous_stream = sequence.stream
            sequence.stream = streams.EventStream(request_id, attempt)
            for index in range(first_index, sequence.next_index):
                _push_token(sequence, index)
            if sequence.finished_ms:
                _push_finish(sequence)
        previous_stream.abort()
        return sequence.stream

    def cancel(self, request_id: str) -> int:
        """Removes all sequences of a request and aborts their streams.

        :returns: the number of sequences that were still running
        """
        with self._lock:
            sequences = [
                s
                for s in self._sequences.values()
                if s.request_id == request_id
            ]
            for sequence in sequences:
                del self._sequences[sequence.request_id, sequence.attempt]
        running = [s for s in sequences if not s.finished_ms]
        for sequence in sequences:
            sequence.stream.abort()
        for sequence in running:
            self._finalize(sequence, 'cancelled')
        return len(running)

    def _count_running(self) -> int:
        return sum(1 for s in self._sequences.values() if not s.finished_ms)

    def _run(self) -> None:
        due_ms = journals.now_ms()
        while self._wait_for_work():
            due_ms += self._step_ms * self._faults.slowdown_factor
            delay_ms = due_ms - journals.now_ms()
            if delay_ms > 0:
                time.sleep(delay_ms / 1000)
            elif delay_ms < -self._step_ms:
                # Late by more than a step: skip the missed steps, or they
                # would run in a burst.
                due_ms = journals.now_ms()
            self._faults.wait_while_stalled()
            self._step()

    def _wait_for_work(self) -> bool:
        """Blocks while no sequence runs; returns False once closed."""
        with self._lock:
            while not self._count_running() and not self._closed:
                self._lock.wait()
            return not self._closed

    def _step(self) -> None:
        finished = []
        with self._lock:
            for sequence in self._sequences.values():
                if not sequence.finished_ms and self._advance(sequence):
                    finished.append(sequence)
            self._remove_expired()
        for sequence in finished:
            self._finalize(sequence, 'finished')

    def _advance(self, sequence: Sequence) -> bool:
        """Generates one token; returns True if it was the last one."""
        index = sequence.next_index
        if index < sequence.answer.length_tokens:
            _push_token(sequence, index)
            # The ``repeat`` fault sends every third token twice.
            if sequence.repeats_tokens and index % 3 == 2:
                _push_token(sequence, index)
            sequence.next_index += 1
        generated_tokens = sequence.next_index - sequence.start_index
        if generated_tokens == FAULT_AFTER_TOKENS and self._faults.consume(
            'silent'
        ):
            sequence.stream.silent = True
        if generated_tokens == FAULT_AFTER_TOKENS and sequence.cuts_stream:
            sequence.stream.abort()
        if sequence.next_index < sequence.answer.length_tokens:
            return False
        _push_finish(sequence)
        sequence.finished_ms = journals.now_ms()
        return True

    def _remove_expired(self) -> None:
        """Forgets the sequences that can no longer be resumed."""
        oldest_kept_ms = journals.now_ms() - FINISHED_RETENTION_MS
        expired = [
            key
            for key, sequence in self._sequences.items()
            if sequence.finished_ms and sequence.finished_ms < oldest_kept_ms
        ]
        for key in expired:
            del self._sequences[key]

    def _finalize(self, sequence: Sequence, outcome: str) -> None:
        """Frees the KV memory of a sequence and records its end."""
        sequence.allocation.release(outcome)
        self._journal.add(
            journals.EVENT_DECODE_END,
            request_id=sequence.request_id,
            attempt=sequence.attempt,
            outcome=outcome,
            first_index=sequence.start_index,
            tokens=sequence.next_index - sequence.start_index,
        )


def _push_token(sequence: Sequence, index: int) -> None:
    sequence.stream.push(
        {'index': index, 'text': sequence.answer.token(index)}
    )


def _push_finish(sequence: Sequence) -> None:
    answer = sequence.answer
    sequence.stream.push(
        {'index': answer.length_tokens, 'finish_reason': answer.finish_reason}
    )
    sequence.stream.finish()
