"""Typed messages and their CBOR frames."""

import typing

import cbor2

from masticquay_wire import errors
from masticquay_wire import records

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 16 * 1024 * 1024

KIND_CALL = 0
KIND_ANSWER = 1
KIND_ERROR = 2
KIND_NOTICE = 3
KIND_PING = 4
KIND_PONG = 5


class Message(records.Record):
    """A record that may travel between processes."""

    __slots__ = ()


_TYPES: dict[str, type[Message]] = {}


def register(cls: type[Message]) -> type[Message]:
    """Makes a message type readable from the wire, by its class name."""
    known = _TYPES.get(cls.__name__)
    if known is not None and known.__module__ != cls.__module__:
        raise errors.MessageError(f'two messages named {cls.__name__}')
    _TYPES[cls.__name__] = cls
    return cls


@register
class Failure(Message):
    """The answer to a call that the peer refused or failed."""

    __slots__ = ('code', 'detail')

    def __init__(self, code: str, detail: str):
        self.code = code
        self.detail = detail


@register
class Done(Message):
    """The answer to a call that has nothing else to say."""

    __slots__ = ()

    def __init__(self) -> None:
        pass


class Frame:
    """One message on a link, with the number of the call it belongs to.

    :param floor: the sender of a call has the answers to all calls below it
    """

    __slots__ = ('kind', 'call_number', 'message', 'floor')

    def __init__(
        self,
        kind: int,
        call_number: int,
        message: Message | None = None,
        floor: int = 0,
    ):
        self.kind = kind
        self.call_number = call_number
        self.message = message
        self.floor = floor


def pack(message: Message) -> bytes:
    """Encodes a message alone, as the log and snapshots store it."""
    return cbor2.dumps([type(message).__name__, message.to_wire()])


def unpack(data: bytes) -> Message:
    """Decodes what ``pack`` made.

    :raises MessageError: when the bytes are no known message
    """
    try:
        name, fields = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, TypeError) as cause:
        raise errors.MessageError(f'unreadable message: {cause}') from cause
    return _build(name, fields)


def encode_frame(frame: Frame) -> bytes:
    """Encodes a frame for one websocket message."""
    message = frame.message
    if message is None:
        return cbor2.dumps([frame.kind, frame.call_number])
    return cbor2.dumps(
        [
            frame.kind,
            frame.call_number,
            type(message).__name__,
            message.to_wire(),
            frame.floor,
        ]
    )


class RawFrame:
    """A frame whose message has not been read yet.

    Parts beyond the known ones are ignored, so that a later version may add
    some.
    """

    __slots__ = ('kind', 'call_number', 'floor', '_parts')

    def __init__(self, kind: int, call_number: int, floor: int, parts: list):
        self.kind = kind
        self.call_number = call_number
        self.floor = floor
        self._parts = parts

    def read(self) -> Frame:
        """Reads the message.

        :raises MessageError: when the message is unknown or malformed
        """
        if len(self._parts) == 2:
            return Frame(self.kind, self.call_number)
        if len(self._parts) < 4:
            raise errors.MessageError('a frame has two parts or four')
        message = _build(self._parts[2], self._parts[3])
        return Frame(self.kind, self.call_number, message, self.floor)


def open_frame(data: bytes) -> RawFrame:
    """Decodes the outer part of one websocket message.

    :raises MessageError: when the bytes are no frame
    """
    try:
        parts = cbor2.loads(data)
        kind, call_number = parts[0], parts[1]
        floor = parts[4] if len(parts) > 4 else 0
    except (
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        LookupError,
    ) as cause:
        raise errors.MessageError(f'unreadable frame: {cause}') from cause
    if not all(type(part) is int for part in (kind, call_number, floor)):
        raise errors.MessageError('a part of a frame is no number')
    return RawFrame(kind, call_number, floor, parts)


def decode_frame(data: bytes) -> Frame:
    """Decodes one websocket message.

    :raises MessageError: when the frame or its message cannot be read
    """
    return open_frame(data).read()


def _build(name: typing.Any, fields: typing.Any) -> Message:
    cls = _TYPES.get(name) if isinstance(name, str) else None
    if cls is None:
        raise errors.MessageError(f'unknown message {name!r}')
    return cls.from_wire(fields)
