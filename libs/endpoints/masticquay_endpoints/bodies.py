"""Reading of streamed response bodies directly from the socket.

``http.client`` reads a chunk in three buffered steps of several calls each.
Since every relayed token is one chunk, that would take a large part of the
processor time per token.
"""

from masticquay_endpoints import connections
from masticquay_endpoints import errors
from masticquay_endpoints import responses

READ_BYTES = 16 * 1024
MAX_SIZE_LINE_BYTES = 256
MAX_CHUNK_BYTES = 1_048_576
CRLF = b'\r\n'


class StreamBody:
    """The body of a response whose headers ``http.client`` has read."""

    __slots__ = (
        '_exchange',
        '_channel',
        '_buffered',
        '_decoder',
        '_ended',
        '_holds_memory',
    )

    def __init__(
        self,
        response: responses.Response,
        exchange: connections.Exchange,
    ):
        connection = exchange.connection
        self._exchange = exchange
        self._channel = connection.channel
        self._buffered = connection.reader.read_arrived(READ_BYTES)
        self._decoder = ChunkDecoder() if response.chunked else None
        self._ended = False
        self._holds_memory = False

    def read(self, kept_bytes: int) -> bytes:
        """Waits for the next bytes of the body and returns them.

        Returns ``b''`` at the end of the body, and also when the endpoint
        closes the connection before it.

        :param kept_bytes: size of what the caller keeps meanwhile
        :raises BodyBudgetError: when there is no memory for it
        :raises ProtocolViolationError: when the chunked coding is invalid
        :raises OSError: when the connection fails or stalls
        """
        decoder = self._decoder
        while not self._ended:
            size_bytes = kept_bytes + (
                len(decoder.incomplete) if decoder else 0
            )
            if size_bytes or self._holds_memory:
                self._exchange.hold_memory(size_bytes + READ_BYTES)
                self._holds_memory = size_bytes > 0
            data = self._buffered or self._channel.recv(READ_BYTES)
            self._buffered = b''
            if not data:
                return b''
            if decoder is None:
                return data
            content = decoder.feed(data)
            self._ended = decoder.ended
            if content:
                return content
        return b''


class ChunkDecoder:
    """Decodes the chunked transfer coding incrementally.

    :ivar incomplete: data of a chunk that is not complete yet
    :ivar ended: whether the final chunk, which is empty, was received
    """

    __slots__ = ('incomplete', 'ended')

    def __init__(self) -> None:
        self.incomplete = b''
        self.ended = False

    def feed(self, data: bytes) -> bytes:
        """Decodes more data; returns the content of the completed chunks.

        :raises ProtocolViolationError: when the data is not valid chunked
            coding
        """
        if self.incomplete:
            data = self.incomplete + data
            self.incomplete = b''
        contents = []
        position = 0
        while True:
            size_end = data.find(CRLF, position)
            if size_end < 0:
                if len(data) - position > MAX_SIZE_LINE_BYTES:
                    raise errors.ProtocolViolationError(
                        'chunk size line is too long'
                    )
                break
            chunk_start = size_end + 2
            chunk_end = chunk_start + _parse_chunk_size(
                data[position:size_end]
            )
            if chunk_start == chunk_end:
                self.ended = True
                break
            if len(data) < chunk_end + 2:
                break
            if data[chunk_end : chunk_end + 2] != CRLF:
                raise errors.ProtocolViolationError(
                    'chunk is not terminated by CRLF'
                )
            contents.append(data[chunk_start:chunk_end])
            position = chunk_end + 2
        self.incomplete = data[position:]
        return contents[0] if len(contents) == 1 else b''.join(contents)


def _parse_chunk_size(line: bytes) -> int:
    digits = line.partition(b';')[0].strip()
    try:
        size_bytes = int(digits, 16)
    except ValueError as cause:
        raise errors.ProtocolViolationError(
            'chunk size is not a hexadecimal number'
        ) from cause
    if not digits.isalnum() or size_bytes > MAX_CHUNK_BYTES:
        raise errors.ProtocolViolationError(
            'chunk size is malformed or too large'
        )
    return size_bytes
