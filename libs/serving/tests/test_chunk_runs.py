"""Tests that chunks in one buffer are read as chunks byte by byte are."""

import io
import random
import unittest

from masticquay_serving import bodies
from masticquay_serving import byte_budgets
from masticquay_serving import errors

LIMIT_BYTES = 400
SEED = 4
BODIES = 8
LARGE_BYTES = 4 * 1024 * 1024
# What may stand in the place of a byte.
WRONG_BYTES = b'\r\n0;gG\x00\xff '


class SlowBytes(io.RawIOBase):
    """A stream that gives one byte at a time, so none lie in a buffer."""

    def __init__(self, data):
        super().__init__()
        self.data = data
        self.position = 0

    def readable(self):
        return True

    def readinto(self, buffer):
        byte = self.data[self.position : self.position + 1]
        buffer[: len(byte)] = byte
        self.position += len(byte)
        return len(byte)


def read(raw, limit_bytes=LIMIT_BYTES):
    """Returns the body and what is left of the stream, or the error."""
    stream = io.BufferedReader(raw)
    reader = bodies.BodyReader(
        stream, limit_bytes, 1_000, byte_budgets.Share(byte_budgets.BUDGET)
    )
    try:
        return reader.read(['chunked'], []), stream.read()
    except errors.BadRequestError as cause:
        return cause.status, cause.detail
    except errors.CallerDisconnectedError:
        return 'disconnected'


def make_chunk(chance):
    size = chance.choice((1, 1, 1, 2, 9, 10, 15, 16, 17, 40))
    size_format = chance.choice((b'%x', b'%x', b'%X', b'%03x', b'%012x'))
    extension = chance.choice((b'',) * 6 + (b' \t', b';a=b', b';' * 20))
    data = bytes(chance.choices(b'a0\r\n;', k=size))
    chunk = size_format % size + extension + b'\r\n' + data + b'\r\n'
    return chunk * chance.choice((1, 1, 2, 12))


class ChunkRunTest(unittest.TestCase):
    def assert_read_alike(self, data):
        self.assertEqual(read(SlowBytes(data)), read(io.BytesIO(data)), data)

    # Guards against UNASKED: chunks found in a buffer are accepted in a form
    # that is refused when they come byte by byte, or end elsewhere.
    def test_chunks_in_a_buffer_are_read_as_byte_by_byte(self):
        chance = random.Random(SEED)
        for _body in range(BODIES):
            chunks = [make_chunk(chance) for _ in range(chance.randrange(12))]
            data = b''.join(chunks) + b'0\r\nT: v\r\n\r\nrest'
            self.assert_read_alike(data)
            for end in range(len(data)):
                self.assert_read_alike(data[:end])
                wrong = bytes([chance.choice(WRONG_BYTES)])
                self.assert_read_alike(data[:end] + wrong + data[end:])
                self.assert_read_alike(data[:end] + wrong + data[end + 1 :])

    def test_limits_hold_for_chunks_in_a_buffer(self):
        for size in range(1, 18):
            chunk = b'%x\r\n%b\r\n' % (size, b'x' * size)
            count = LIMIT_BYTES // size
            with self.subTest(size=size):
                whole = chunk * count + b'0\r\n\r\n'
                body, _rest = read(io.BytesIO(whole))
                self.assertEqual(b'x' * size * count, body)
                status, _detail = read(io.BytesIO(chunk * (count + 1)))
                self.assertEqual(413, status)

    def test_excess_of_size_lines_is_counted_over_all_buffers(self):
        chunk = b'1;' + b'x' * 100 + b'\r\nx\r\n'
        for count in (180, 186, 187, 188, 189, 190, 200):
            self.assert_read_alike(chunk * count + b'0\r\n\r\n')

    def test_largest_body_in_chunks_of_one_byte_is_decoded(self):
        data = b'1\r\nx\r\n' * LARGE_BYTES + b'0\r\n\r\n'
        body, rest = read(io.BytesIO(data), LARGE_BYTES)
        self.assertEqual((b'x' * LARGE_BYTES, b''), (body, rest))
