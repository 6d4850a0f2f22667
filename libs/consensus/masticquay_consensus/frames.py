"""Checksummed frames, the format of all stored files.

A frame is a header with a magic number, the payload's length and a checksum,
followed by the payload.
"""

import struct
import zlib

MAGIC = b'MqL1'
_HEADER = struct.Struct('>4sII')
HEADER_BYTES = _HEADER.size


class ScanResult:
    """The result of scanning a sequence of frames.

    :param payloads: the payloads of the frames that were read
    :param valid_bytes: the offset at which reading stopped
    :param damaged: whether a valid frame follows after that offset. A torn
        write damages only the end of the data, so in this case data that was
        synced is corrupt.
    """

    __slots__ = ('payloads', 'valid_bytes', 'damaged')

    def __init__(self, payloads: list[bytes], valid_bytes: int, damaged: bool):
        self.payloads = payloads
        self.valid_bytes = valid_bytes
        self.damaged = damaged


def encode(payload: bytes) -> bytes:
    """Encodes a payload as a frame."""
    return _HEADER.pack(MAGIC, len(payload), _checksum(payload)) + payload


def decode_single(data: bytes) -> bytes | None:
    """Returns the payload of data that must be exactly one frame.

    Returns None if the frame is invalid or other data follows it.
    """
    payload = _decode_at(data, 0)
    if payload is None or len(data) != HEADER_BYTES + len(payload):
        return None
    return payload


def scan(data: bytes, marker: bytes) -> ScanResult:
    """Reads frames up to the end or the first invalid one.

    :param marker: an encoded frame that carries no data. An invalid frame of
        the same length is taken for a corrupt marker and skipped, if a valid
        frame follows it directly.
    """
    payloads = []
    offset = 0
    while offset < len(data):
        payload = _decode_at(data, offset)
        if payload is None:
            after = offset + len(marker)
            if _decode_at(data, after) is None:
                break
            offset = after
            continue
        payloads.append(payload)
        offset += HEADER_BYTES + len(payload)
    return ScanResult(payloads, offset, _has_frame_after(data, offset))


def _decode_at(data: bytes, offset: int) -> bytes | None:
    start = offset + HEADER_BYTES
    if start > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    payload = data[start : start + length]
    if magic != MAGIC or len(payload) != length:
        return None
    return payload if _checksum(payload) == checksum else None


def _has_frame_after(data: bytes, offset: int) -> bool:
    found = data.find(MAGIC, offset + 1)
    while found >= 0:
        if _decode_at(data, found) is not None:
            return True
        found = data.find(MAGIC, found + 1)
    return False


def _checksum(payload: bytes) -> int:
    """Returns the CRC-32 of the payload, which starts from its length."""
    return zlib.crc32(payload, len(payload))
