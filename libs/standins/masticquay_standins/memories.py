"""KV memory of the engine stand-in, in pieces, with a record of holders."""

import threading

from masticquay_standins import journals

STAGE_PREFILL = 'prefill'
STAGE_DECODE = 'decode'


class Hold:
    """Pieces that a request occupies until they are released."""

    __slots__ = (
        'request_id',
        'prompt_id',
        'stage',
        'pieces',
        '_memory',
        '_held',
    )

    def __init__(
        self,
        memory: 'Memory',
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
        self._held = True

    def release(self, reason: str) -> bool:
        """Frees the pieces; False when that was done before."""
        with self._memory.lock:
            if not self._held:
                return False
            self._held = False
            self._memory.used -= self.pieces
        self._memory.journal.add(
            journals.EVENT_RELEASED,
            request_id=self.request_id,
            prompt_id=self.prompt_id,
            stage=self.stage,
            pieces=self.pieces,
            reason=reason,
        )
        return True


class Memory:
    """A fixed number of pieces, each for some tokens."""

    __slots__ = ('journal', 'lock', 'pieces', 'piece_tokens', 'used')

    def __init__(
        self, journal: journals.Journal, pieces: int, piece_tokens: int
    ):
        self.journal = journal
        self.lock = threading.Lock()
        self.pieces = pieces
        self.piece_tokens = piece_tokens
        self.used = 0

    def hold(
        self, request_id: str, prompt_id: str, stage: str, tokens: int
    ) -> Hold | None:
        """Takes the pieces for some tokens, None when too few are free."""
        pieces = -(-tokens // self.piece_tokens)
        with self.lock:
            if self.used + pieces > self.pieces:
                return None
            self.used += pieces
        self.journal.add(
            journals.EVENT_HELD,
            request_id=request_id,
            prompt_id=prompt_id,
            stage=stage,
            pieces=pieces,
        )
        return Hold(self, request_id, prompt_id, stage, pieces)
