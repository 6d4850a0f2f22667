"""The KV cache memory of the engine stand-in.

Memory is allocated in pieces of a fixed number of tokens. Each allocation and
its release are recorded in the journal, the event log of the stand-in.
"""

import threading

from masticquay_standins import journals

STAGE_PREFILL = 'prefill'
STAGE_DECODE = 'decode'


class Allocation:
    """The pieces allocated to one stage of a request.

    :param prompt_id: the id marker of the prompt, recorded in the journal
    :param stage: ``STAGE_PREFILL`` or ``STAGE_DECODE``
    """

    __slots__ = (
        'request_id',
        'prompt_id',
        'stage',
        'pieces',
        '_memory',
        '_is_allocated',
    )

    def __init__(
        self,
        memory: 'KvMemory',
        request_id: str,
        prompt_id: str,
        stage: str,
        pieces: int,
    ):
        self._memory = memory
        self.request_id = request_id
        self.prompt_id = prompt_id
        self.stage = stage
        self.pieces = pieces
        self._is_allocated = True

    def release(self, reason: str) -> bool:
        """Frees the pieces; returns False if they are already free.

        :param reason: recorded in the journal
        """
        with self._memory.lock:
            if not self._is_allocated:
                return False
            self._is_allocated = False
            self._memory.used_pieces -= self.pieces
        self._memory.journal.add(
            journals.EVENT_RELEASED,
            request_id=self.request_id,
            prompt_id=self.prompt_id,
            stage=self.stage,
            pieces=self.pieces,
            reason=reason,
        )
        return True


class KvMemory:
    """A KV memory with a fixed number of pieces.

    :param piece_tokens: the number of tokens that fit into a piece
    """

    __slots__ = (
        'journal',
        'lock',
        'total_pieces',
        'piece_tokens',
        'used_pieces',
    )

    def __init__(
        self, journal: journals.Journal, total_pieces: int, piece_tokens: int
    ):
        self.journal = journal
        self.lock = threading.Lock()
        self.total_pieces = total_pieces
        self.piece_tokens = piece_tokens
        self.used_pieces = 0

    def allocate(
        self, request_id: str, prompt_id: str, stage: str, tokens: int
    ) -> Allocation | None:
        """Allocates pieces for some tokens; None if too few are free."""
        pieces = -(-tokens // self.piece_tokens)
        with self.lock:
            if self.used_pieces + pieces > self.total_pieces:
                return None
            self.used_pieces += pieces
        self.journal.add(
            journals.EVENT_HELD,
            request_id=request_id,
            prompt_id=prompt_id,
            stage=stage,
            pieces=pieces,
        )
        return Allocation(self, request_id, prompt_id, stage, pieces)
