"""The proof, on each new link, that both sides know the fleet secret."""

import hashlib
import hmac
import os
import typing

import cbor2

from masticquay_wire import errors
from masticquay_wire import messages
from masticquay_wire import records

NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_S = 2.0


class Transport(typing.Protocol):
    """What a handshake needs of a websocket."""

    def send(self, message: bytes) -> None:
        """Sends one binary message."""

    def recv(self, timeout: float | None = None) -> bytes:
        """Receives one message."""


class Hello(records.Record):
    """The dialling side's name and proof."""

    __slots__ = ('version', 'name', 'session', 'nonce', 'proof')

    def __init__(
        self,
        version: int,
        name: str,
        session: bytes,
        nonce: bytes,
        proof: bytes,
    ):
        self.version = version
        self.name = name
        self.session = session
        self.nonce = nonce
        self.proof = proof


def dial(
    transport: Transport, secret: bytes, name: str, session: bytes
) -> None:
    """Proves the secret to the listener and checks its proof.

    :param session: identifies this dialler over redials
    :raises AuthenticationError: when the listener does not know the secret
    """
    challenge = _receive(transport)
    nonce = os.urandom(NONCE_BYTES)
    proof = _prove(secret, b'dial', challenge, nonce, name.encode(), session)
    hello = Hello(messages.PROTOCOL_VERSION, name, session, nonce, proof)
    transport.send(cbor2.dumps(hello.to_wire()))
    answer = _receive(transport)
    expected = _prove(secret, b'listen', nonce, challenge)
    if not hmac.compare_digest(answer, expected):
        raise errors.AuthenticationError('the listener gave no valid proof')


def listen(transport: Transport, secret: bytes) -> Hello:
    """Challenges the dialler and proves the secret to it.

    :returns: who dialled
    :raises AuthenticationError: when the proof or the version is refused
    """
    challenge = os.urandom(NONCE_BYTES)
    transport.send(challenge)
    hello = _read_hello(_receive(transport))
    expected = _prove(
        secret,
        b'dial',
        challenge,
        hello.nonce,
        hello.name.encode(),
        hello.session,
    )
    if not hmac.compare_digest(hello.proof, expected):
        raise errors.AuthenticationError('the dialler gave no valid proof')
    if hello.version < messages.OLDEST_PROTOCOL_VERSION:
        raise errors.AuthenticationError(
            f'protocol version {hello.version} is no longer spoken'
        )
    transport.send(_prove(secret, b'listen', hello.nonce, challenge))
    return hello


def _receive(transport: Transport) -> bytes:
    data = transport.recv(timeout=HANDSHAKE_TIMEOUT_S)
    if not isinstance(data, bytes):
        raise errors.AuthenticationError('a handshake message is no text')
    return data


def _read_hello(data: bytes) -> Hello:
    try:
        return Hello.from_wire(cbor2.loads(data))
    except (errors.MessageError, cbor2.CBORDecodeError, ValueError) as cause:
        raise errors.AuthenticationError(
            f'unreadable handshake: {cause}'
        ) from cause


def _prove(secret: bytes, *parts: bytes) -> bytes:
    mac = hmac.new(secret, digestmod=hashlib.sha256)
    for part in parts:
        mac.update(len(part).to_bytes(4, 'big'))
        mac.update(part)
    return mac.digest()
