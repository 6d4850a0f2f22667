"""Reads request bodies sent with a length or in chunks."""

import io
import math
import time
import typing

from masticquay_serving import byte_budgets
from masticquay_serving import chunk_runs
from masticquay_serving import errors
from masticquay_serving import framings
from masticquay_serving import heads
from masticquay_serving import processor_turns

MAX_SIZE_LINE_BYTES = 1_024
# As many as ``http.client`` allows headers.
MAX_TRAILERS = 100
# Size lines of chunks may have this much beyond FRAMING_BYTES_PER_CHUNK each.
MAX_EXCESS_FRAMING_BYTES = 16 * 1024
FRAMING_BYTES_PER_CHUNK = 16
# A larger body is read by pieces of this size, for each of which there must be
# memory.
PIECE_BYTES = byte_budgets.FREE_BYTES
# How long a body may wait for memory that other bodies use.
MEMORY_WAIT_S = 1.0
STATUS_NO_MEMORY = 503


class BodyReader:
    """Reads one request body from a buffered connection.

    :param limit_bytes: maximum size of the decoded body
    :param trailers_limit_bytes: maximum size of all trailers
    :param memory: takes what the body needs
    :param read_due_s: returns the monotonic time at which the body must be
        complete, as far as is known
    """

    def __init__(
        self,
        stream: io.BufferedReader,
        limit_bytes: int,
        trailers_limit_bytes: int,
        memory: byte_budgets.Share,
        read_due_s: typing.Callable[[], float] = lambda: math.inf,
    ):
        self._work = processor_turns.BodyWork(read_due_s)
        self._stream = stream
        self._memory = memory
        self._limit_bytes = limit_bytes
        self._trailers_limit_bytes = trailers_limit_bytes
        self._excess_bytes = 0

    def read(self, encodings: list[str], lengths: list[str]) -> bytes:
        """Reads and returns the whole body, empty if neither header is sent.

        :param encodings: values of the ``Transfer-Encoding`` headers
        :param lengths: values of the ``Content-Length`` headers
        :raises BadRequestError: if the length is ambiguous, if the length, a
            chunk or a trailer is malformed, if the connection closes within a
            chunk's size line or before the line end after its data, if the
            body or its trailers are too large, or if there is no memory
        :raises CallerDisconnectedError: if the connection closes within a
            body sent with a length, within the data of a chunk, or within the
            trailers
        :raises TurnTimeoutError: if it costs too much processor time
        """
        if encodings:
            codings = [
                encoding.strip(framings.WHITE_SPACE).lower()
                for encoding in encodings
            ]
            if lengths or codings != [framings.CHUNKED]:
                raise errors.BadRequestError(400, 'ambiguous body length')
            return self._read_chunks()
        if not lengths:
            return b''
        length = self._parse_length(lengths)
        # Closed, since the traceback of an error may keep it for long.
        with io.BytesIO() as body:
            self._read_exactly(length, body)
            return body.getvalue()

    def _parse_length(self, lengths: list[str]) -> int:
        first = lengths[0]
        all_equal = all(length == first for length in lengths)
        if not all_equal or not (first.isascii() and first.isdigit()):
            raise errors.BadRequestError(400, 'unreadable Content-Length')
        if len(first) > framings.MAX_LENGTH_DIGITS:
            raise errors.BadRequestError(413, 'the body is too large')
        self._check_size(int(first))
        return int(first)

    def _read_chunks(self) -> bytes:
        total = 0
        with io.BytesIO() as body:
            while True:
                total += self._read_buffered_chunks(total, body)
                size = self._read_chunk_size()
                if size == 0:
                    break
                total += size
                self._check_size(total)
                self._read_exactly(size, body)
                if self._stream.read(2) != framings.CHUNK_END:
                    raise errors.BadRequestError(400, 'unreadable chunk')
                self._work.add(FRAMING_BYTES_PER_CHUNK, size)
            self._check_trailers()
            return body.getvalue()

    def _read_buffered_chunks(self, total: int, body: io.BytesIO) -> int:
        """Reads the chunks that lie in the buffer as a whole.

        :param total: bytes of the chunks before
        :returns: bytes of these
        """
        run = chunk_runs.ChunkRun(
            self._limit_bytes - total,
            MAX_SIZE_LINE_BYTES - 1,
            FRAMING_BYTES_PER_CHUNK,
            MAX_EXCESS_FRAMING_BYTES - self._excess_bytes,
        )
        pieces = run.decode(self._stream.peek())
        if pieces:
            self._take_memory(body.tell() + run.size_bytes)
            body.writelines(pieces)
            self._stream.read(run.end)
            self._excess_bytes += run.excess_bytes
            self._work.add(run.end - run.size_bytes, run.size_bytes)
        return run.size_bytes

    def _read_chunk_size(self) -> int:
        line = self._stream.readline(MAX_SIZE_LINE_BYTES)
        try:
            size = framings.read_chunk_size(line)
        except framings.FramingError as cause:
            raise errors.BadRequestError(400, str(cause)) from cause
        self._excess_bytes += max(0, len(line) - FRAMING_BYTES_PER_CHUNK)
        if self._excess_bytes > MAX_EXCESS_FRAMING_BYTES:
            raise errors.BadRequestError(400, 'the chunk extensions are large')
        return size

    def _check_trailers(self) -> None:
        """Reads the trailers, which are not used, up to the empty line.

        :raises BadRequestError: if they are unreadable or too many
        :raises CallerDisconnectedError: if the connection closes before it
        """
        lines = heads.HeaderLines(self._stream, self._trailers_limit_bytes)
        for _line in range(MAX_TRAILERS + 1):
            line = lines.readline()
            if line == heads.EMPTY_LINE:
                return
            if not heads.is_trailer_line(line):
                raise errors.BadRequestError(400, 'unreadable trailer')
        raise errors.BadRequestError(431, 'the trailers are too many')

    def _check_size(self, size: int) -> None:
        if size > self._limit_bytes:
            raise errors.BadRequestError(413, 'the body is too large')

    def _read_exactly(self, size: int, body: io.BytesIO) -> None:
        """Reads so many bytes to the end of the body."""
        while size:
            piece_bytes = min(size, PIECE_BYTES)
            self._take_memory(body.tell() + piece_bytes)
            data = self._stream.read(piece_bytes)
            if len(data) < piece_bytes:
                raise errors.CallerDisconnectedError(
                    'connection closed before the end of the body'
                )
            body.write(data)
            size -= piece_bytes

    def _take_memory(self, size_bytes: int) -> None:
        try:
            self._memory.require(size_bytes, time.monotonic() + MEMORY_WAIT_S)
        except (
            errors.BodyBudgetError,
            errors.BudgetTimeoutError,
        ) as cause:
            raise errors.BadRequestError(
                STATUS_NO_MEMORY, 'no memory for the body'
            ) from cause
