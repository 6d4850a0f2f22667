"""Checksummed frames, of which every stored file consists."""

import struct
import zlib

MAGIC = b'MqL1'
_HEADER = struct.Struct('>4sII')
HEADER_BYTES = _HEADER.size


class Scan:
    """What reading a sequence of frames found.

    :param payloads: the payloads of the valid frames from the start
    :param valid_bytes: the length of those frames
    :param damaged: a valid frame follows an invalid one, so that bytes that
        had been synced are lost
    """

    __slots__ = ('payloads', 'valid_bytes', 'damaged')

    def __init__(self, payloads: list[bytes], valid_bytes: int, damaged: bool):
        self.payloads = payloads
        self.valid_bytes = valid_bytes
        self.damaged = damaged


def seal(payload: bytes) -> bytes:
    """Returns the payload as a frame."""
    return _HEADER.pack(MAGIC, len(payload), _checksum(payload)) + payload


def open_one(data: bytes) -> bytes | None:
    """Returns the payload of a file of one frame, None if it is damaged."""
    payload = _read_at(data, 0)
    if payload is None or len(data) != HEADER_BYTES + len(payload):
        return None
    return payload


def scan(data: bytes, mark: bytes) -> Scan:
    """Reads frames until the end or the first invalid one.

    :param mark: a frame that carries nothing; a damaged one is passed over
    """
    payloads = []
    offset = 0
    while offset < len(data):
        payload = _read_at(data, offset)
        if payload is None:
            after = offset + len(mark)
            if _read_at(data, after) is None:
                break
            offset = after
            continue
        payloads.append(payload)
        offset += HEADER_BYTES + len(payload)
    return Scan(payloads, offset, _has_frame_after(data, offset))


def _read_at(data: bytes, offset: int) -> bytes | None:
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
        if _read_at(data, found) is not None:
            return True
        found = data.find(MAGIC, found + 1)
    return False


def _checksum(payload: bytes) -> int:
    return zlib.crc32(payload, len(payload))
