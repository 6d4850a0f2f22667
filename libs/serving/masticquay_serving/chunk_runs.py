"""Decodes the whole chunks that stand at the start of a buffer.

What is not a whole chunk with data is left to the caller, so that no form is
accepted here that ``framings`` refuses.
"""

import re

from masticquay_serving import framings

# Chunks of so few bytes are found and decoded many at a time.
MAX_SMALL_BYTES = 15
DIGITS = b'0123456789abcdef'
# Chunks of one size that follow one another.
EQUAL_CHUNKS = {
    b'%x' % size: re.compile(rb'(?s:%x\r\n%b\r\n)+' % (size, b'.' * size))
    for size in range(1, MAX_SMALL_BYTES + 1)
}
SMALL_FRAMING_BYTES = 5
DATA_OFFSET = 3
END_BYTES = len(framings.CHUNK_END)
# Fewer equal chunks are decoded together with others.
MIN_EQUAL = 8
# A size line of at most 11 bytes, which never has excess. The data is a group,
# whose length the digit before it says.
SMALL_CHUNK = rb'0{0,8}[1-9A-Fa-f]\r\n((?s:%b))\r\n' % b'|'.join(
    rb'(?<=[%b]\r\n)%b'
    % (bytes({DIGITS[size], DIGITS.upper()[size]}), b'.' * size)
    for size in range(1, MAX_SMALL_BYTES + 1)
)
SMALL_CHUNKS = re.compile(rb'(?:%b)+' % SMALL_CHUNK)
SMALL_DATA = re.compile(SMALL_CHUNK)


class ChunkRun:
    """Decodes chunks up to limits.

    :param limit_bytes: for the data of all chunks
    :param line_limit_bytes: for a size line with its end
    :param free_line_bytes: of a size line, what exceeds it is excess
    :param excess_limit_bytes: for the excess of all size lines
    :ivar end: position behind the chunks that were decoded
    :ivar size_bytes: of their data
    :ivar excess_bytes: of their size lines
    """

    __slots__ = (
        '_limit_bytes',
        '_line_limit_bytes',
        '_free_line_bytes',
        '_excess_limit_bytes',
        'end',
        'size_bytes',
        'excess_bytes',
    )

    def __init__(
        self,
        limit_bytes: int,
        line_limit_bytes: int,
        free_line_bytes: int,
        excess_limit_bytes: int,
    ):
        self._limit_bytes = limit_bytes
        self._line_limit_bytes = line_limit_bytes
        self._free_line_bytes = free_line_bytes
        self._excess_limit_bytes = excess_limit_bytes
        self.end = 0
        self.size_bytes = 0
        self.excess_bytes = 0

    def decode(self, buffer: bytes) -> list[bytes | bytearray]:
        """Returns the data of the chunks, in pieces."""
        pieces: list[bytes | bytearray] = []
        while (
            self._decode_equal(buffer, pieces)
            or self._decode_small(buffer, pieces)
            or self._decode_others(buffer, pieces)
        ):
            pass
        return pieces

    def _decode_equal(
        self, buffer: bytes, pieces: list[bytes | bytearray]
    ) -> bool:
        """Decodes small chunks of one size."""
        pattern = EQUAL_CHUNKS.get(buffer[self.end : self.end + 1])
        found = pattern and pattern.match(buffer, self.end)
        if not found:
            return False
        size = int(buffer[self.end : self.end + 1], 16)
        width = size + SMALL_FRAMING_BYTES
        count = min(
            (found.end() - self.end) // width,
            (self._limit_bytes - self.size_bytes) // size,
        )
        if count < MIN_EQUAL:
            return False
        start = self.end + DATA_OFFSET
        self.end += count * width
        data = bytearray(count * size)
        for index in range(size):
            data[index::size] = buffer[start + index : self.end : width]
        pieces.append(data)
        self.size_bytes += count * size
        return True

    def _decode_small(
        self, buffer: bytes, pieces: list[bytes | bytearray]
    ) -> bool:
        """Decodes small chunks of any sizes, while far from the limit."""
        found = SMALL_CHUNKS.match(buffer, self.end)
        if not found:
            return False
        if found.end() - self.end > self._limit_bytes - self.size_bytes:
            return False
        data = b''.join(SMALL_DATA.findall(buffer, self.end, found.end()))
        self.end = found.end()
        pieces.append(data)
        self.size_bytes += len(data)
        return True

    def _decode_others(
        self, buffer: bytes, pieces: list[bytes | bytearray]
    ) -> bool:
        """Decodes chunks one by one, up to the first that is small."""
        first = self.end
        size = MAX_SMALL_BYTES + 1
        while size > MAX_SMALL_BYTES:
            found = framings.CHUNK_SIZE_LINE.match(buffer, self.end)
            if found is None:
                break
            data_start = found.end()
            line_bytes = data_start - self.end
            size = int(found[1], 16)
            data_end = data_start + size
            end = data_end + END_BYTES
            excess_bytes = self.excess_bytes
            if line_bytes > self._free_line_bytes:
                excess_bytes += line_bytes - self._free_line_bytes
            if (
                line_bytes > self._line_limit_bytes
                or excess_bytes > self._excess_limit_bytes
                or self.size_bytes + size > self._limit_bytes
                or size == 0
                or buffer[data_end:end] != framings.CHUNK_END
            ):
                break
            pieces.append(buffer[data_start:data_end])
            self.end = end
            self.size_bytes += size
            self.excess_bytes = excess_bytes
        return self.end > first
