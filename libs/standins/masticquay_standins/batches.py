"""Continuous batching: one loop that gives each running answer a token."""

import threading
import time

from masticquay_standins import answers
from masticquay_standins import faults
from masticquay_standins import journals
from masticquay_standins import memories
from masticquay_standins import streams

FINISHED_KEPT_MS = 5_000
SILENT_AFTER_TOKENS = 3


class Sequence:
    """A running answer.

    :param next_index: the index of the next token to compute
    :param hold: the memory that it occupies
    """

    __slots__ = (
        'request_id',
        'attempt',
        'answer',
        'next_index',
        'hold',
        'stream',
        'finished_ms',
        'repeats',
        'cut',
        'start_index',
    )

    def __init__(
        self,
        request_id: str,
        attempt: int,
        answer: answers.Answer,
        first_index: int,
        hold: memories.Hold,
    ):
        self.request_id = request_id
        self.attempt = attempt
        self.answer = answer
        self.start_index = first_index
        self.next_index = first_index
        self.hold = hold
        self.stream = streams.EventStream(request_id, attempt)
        self.finished_ms = 0.0
        self.repeats = False
        self.cut = False


class Batch:
    """The answers that run together on one engine.

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
        self._sequences: dict[tuple[str, int], Sequence] = {}
        self._reserved = 0
        self._closed = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts the loop."""
        self._thread.start()

    def close(self) -> None:
        """Ends the loop."""
        with self._lock:
            self._closed = True
            self._lock.notify_all()

    @property
    def used(self) -> int:
        """How many slots are taken."""
        with self._lock:
            return self._count_running() + self._reserved

    def reserve(self) -> bool:
        """Takes a slot ahead of ``add``; False when all are taken."""
        with self._lock:
            if self._count_running() + self._reserved >= self.slots:
                return False
            self._reserved += 1
            return True

    def unreserve(self) -> None:
        """Gives back a slot that ``add`` did not use."""
        with self._lock:
            self._reserved -= 1

    def add(self, sequence: Sequence) -> None:
        """Runs a sequence in a reserved slot."""
        sequence.repeats = self._faults.take('repeat')
        sequence.cut = self._faults.take('cut')
        with self._lock:
            self._reserved -= 1
            self._sequences[sequence.request_id, sequence.attempt] = sequence
            self._lock.notify_all()

    def resume(
        self, request_id: str, attempt: int, first_index: int
    ) -> streams.EventStream | None:
        """Moves a sequence to a new stream that starts at an index."""
        with self._lock:
            sequence = self._sequences.get((request_id, attempt))
            if sequence is None or first_index < sequence.start_index:
                return None
            old = sequence.stream
            sequence.stream = streams.EventStream(request_id, attempt)
            for index in range(first_index, sequence.next_index):
                _push_token(sequence, index)
            if sequence.finished_ms:
                _push_end(sequence)
        old.abort()
        return sequence.stream

    def cancel(self, request_id: str) -> int:
        """Ends all sequences of a request; returns how many ran."""
        with self._lock:
            found = [
                s
                for s in self._sequences.values()
                if s.request_id == request_id
            ]
            for sequence in found:
                del self._sequences[sequence.request_id, sequence.attempt]
        running = [s for s in found if not s.finished_ms]
        for sequence in found:
            sequence.stream.abort()
        for sequence in running:
            self._end(sequence, 'cancelled')
        return len(running)

    def _count_running(self) -> int:
        return sum(1 for s in self._sequences.values() if not s.finished_ms)

    def _run(self) -> None:
        due_ms = journals.now_ms()
        while self._wait_for_work():
            due_ms += self._step_ms * self._faults.slow
            delay_ms = due_ms - journals.now_ms()
            if delay_ms > 0:
                time.sleep(delay_ms / 1000)
            elif delay_ms < -self._step_ms:
                due_ms = journals.now_ms()
            self._faults.wait_stalled()
            self._step()

    def _wait_for_work(self) -> bool:
        """Blocks while nothing runs; False once closed."""
        with self._lock:
            while not self._count_running() and not self._closed:
                self._lock.wait()
            return not self._closed

    def _step(self) -> None:
        ended = []
        with self._lock:
            for sequence in self._sequences.values():
                if not sequence.finished_ms and self._advance(sequence):
                    ended.append(sequence)
            self._forget_finished()
        for sequence in ended:
            self._end(sequence, 'finished')

    def _advance(self, sequence: Sequence) -> bool:
        """Computes one token; True after the last one."""
        index = sequence.next_index
        if index < sequence.answer.length_tokens:
            _push_token(sequence, index)
            if sequence.repeats and index % 3 == 2:
                _push_token(sequence, index)
            sequence.next_index += 1
        done = sequence.next_index - sequence.start_index
        if done == SILENT_AFTER_TOKENS and self._faults.take('silent'):
            sequence.stream.silent = True
        if done == SILENT_AFTER_TOKENS and sequence.cut:
            sequence.stream.abort()
        if sequence.next_index < sequence.answer.length_tokens:
            return False
        _push_end(sequence)
        sequence.finished_ms = journals.now_ms()
        return True

    def _forget_finished(self) -> None:
        limit_ms = journals.now_ms() - FINISHED_KEPT_MS
        old = [
            identity
            for identity, sequence in self._sequences.items()
            if sequence.finished_ms and sequence.finished_ms < limit_ms
        ]
        for identity in old:
            del self._sequences[identity]

    def _end(self, sequence: Sequence, outcome: str) -> None:
        sequence.hold.release(outcome)
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


def _push_end(sequence: Sequence) -> None:
    answer = sequence.answer
    sequence.stream.push(
        {'index': answer.length_tokens, 'finish_reason': answer.finish_reason}
    )
    sequence.stream.finish()
