"""Message types and their encoding as CBOR frames."""

import typing

import cbor2

from masticquay_wire import errors
from masticquay_wire import records

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 16 * 1024 * 1024

# Kinds of frames.
KIND_CALL = 0
KIND_ANSWER = 1
KIND_ERROR = 2
KIND_NOTICE = 3
KIND_PING = 4
KIND_PONG = 5


class Message(records.Record):
    """Base class of the records that processes send to each other."""

    __slots__ = ()


_MESSAGE_TYPES: dict[str, type[Message]] = {}


def register(cls: type[Message]) -> type[Message]:
    """Registers a message type, so that it can be decoded by its class name.

    Used as a class decorator.

    :raises MessageError: when another module registered the same name
    """
    known = _MESSAGE_TYPES.get(cls.__name__)
    if known is not None and known.__module__ != cls.__module__:
        raise errors.MessageError(
            f'message type {cls.__name__} is registered by another module'
        )
    _MESSAGE_TYPES[cls.__name__] = cls
    return cls


@register
class Failure(Message):
    """The answer to a call that was refused or whose handler failed."""

    __slots__ = ('code', 'detail')

    def __init__(self, code: str, detail: str):
        self.code = code
        self.detail = detail


@register
class Done(Message):
    """The answer to a call that returns no data."""

    __slots__ = ()

    def __init__(self) -> None:
        pass


class Frame:
    """One message on a link, with the number of the call it belongs to.

    Notices, pings and pongs belong to no call and have the number 0; on a link
    for exchanges, notices have that of their exchange. Pings and pongs have no
    message.

    :param lowest_pending: lowest number among the calls that the sender has
        no answer to; the receiver may discard the answers to lower ones
    """

    __slots__ = ('kind', 'call_number', 'message', 'lowest_pending')

    def __init__(
        self,
        kind: int,
        call_number: int,
        message: Message | None = None,
        lowest_pending: int = 0,
    ):
        self.kind = kind
        self.call_number = call_number
        self.message = message
        self.lowest_pending = lowest_pending


def pack(message: Message) -> bytes:
    """Encodes a message without a frame, as in the log and in snapshots."""
    return cbor2.dumps([type(message).__name__, message.to_wire()])


def unpack(data: bytes) -> Message:
    """Decodes a message that ``pack`` encoded.

    :raises MessageError: when the bytes are malformed or the message type
        is unknown
    """
    try:
        name, fields = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, TypeError) as cause:
        raise errors.MessageError(f'malformed message: {cause}') from cause
    return _build_message(name, fields)


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
            frame.lowest_pending,
        ]
    )


class EncodedNotice:
    """A notice, a message without answer, encoded once for several links.

    :param number: of the exchange that it belongs to, 0 for none
    :raises MessageError: when the message is too large
    """

    __slots__ = ('message', 'frame')

    def __init__(self, message: Message, number: int = 0):
        self.message = message
        self.frame = encode_frame(Frame(KIND_NOTICE, number, message))
        if len(self.frame) > MAX_FRAME_BYTES:
            raise errors.MessageError(
                'the notice exceeds the maximum frame size'
            )


class RawFrame:
    """A frame whose message has not been decoded yet.

    Unknown trailing elements are ignored, so that a later version may add
    some.
    """

    __slots__ = ('kind', 'call_number', 'lowest_pending', '_parts')

    def __init__(
        self, kind: int, call_number: int, lowest_pending: int, parts: list
    ):
        self.kind = kind
        self.call_number = call_number
        self.lowest_pending = lowest_pending
        self._parts = parts

    @property
    def message_name(self) -> str:
        """The name of the message type, empty if the frame has none."""
        name = self._parts[2] if len(self._parts) > 2 else ''
        return name if name in _MESSAGE_TYPES else ''

    def decode(self) -> Frame:
        """Decodes the message.

        :raises MessageError: when the message is unknown or malformed
        """
        if len(self._parts) == 2:
            return Frame(self.kind, self.call_number)
        if len(self._parts) < 4:
            raise errors.MessageError(
                'a frame must have 2 elements, or at least 4'
            )
        message = _build_message(self._parts[2], self._parts[3])
        return Frame(self.kind, self.call_number, message, self.lowest_pending)


def decode_raw_frame(data: bytes) -> RawFrame:
    """Decodes the header of a frame, but not its message.

    :raises MessageError: when the bytes are not a frame
    """
    try:
        parts = cbor2.loads(data)
        kind, call_number = parts[0], parts[1]
        lowest_pending = parts[4] if len(parts) > 4 else 0
    except (
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        LookupError,
    ) as cause:
        raise errors.MessageError(f'malformed frame: {cause}') from cause
    if not all(
        type(part) is int for part in (kind, call_number, lowest_pending)
    ):
        raise errors.MessageError(
            'an element of the frame header is not an integer'
        )
    return RawFrame(kind, call_number, lowest_pending, parts)


def decode_frame(data: bytes) -> Frame:
    """Decodes a frame and its message.

    :raises MessageError: when the frame or its message cannot be decoded
    """
    return decode_raw_frame(data).decode()


def _build_message(name: typing.Any, fields: typing.Any) -> Message:
    cls = _MESSAGE_TYPES.get(name) if isinstance(name, str) else None
    if cls is None:
        raise errors.MessageError(f'unknown message type {name!r}')
    return cls.from_wire(fields)
