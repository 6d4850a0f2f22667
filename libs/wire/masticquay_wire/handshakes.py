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
VERSION_DISTANCE = 1

REFUSED_PROOF = 'proof'
REFUSED_VERSION = 'version'


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


class Welcome(records.Record):
    """The listening side's proof, or the code why it refuses.

    :param instance: differs after each start of the listener
    """

    __slots__ = ('version', 'instance', 'proof', 'refusal', 'detail')

    def __init__(
        self,
        version: int,
        instance: bytes = b'',
        proof: bytes = b'',
        refusal: str = '',
        detail: str = '',
    ):
        self.version = version
        self.instance = instance
        self.proof = proof
        self.refusal = refusal
        self.detail = detail


def dial(
    transport: Transport,
    secret: bytes,
    name: str,
    session: bytes,
    version: int = messages.PROTOCOL_VERSION,
) -> Welcome:
    """Proves the secret to the listener and checks its proof.

    :param session: identifies this dialler over redials
    :returns: the listener's answer
    :raises AuthenticationError: when one side does not know the secret
    :raises VersionError: when the listener speaks no version near ours
    """
    challenge = _receive(transport)
    nonce = os.urandom(NONCE_BYTES)
    hello_parts = (nonce, name.encode(), session, str(version).encode())
    proof = _prove(secret, b'dial', challenge, *hello_parts)
    hello = Hello(version, name, session, nonce, proof)
    transport.send(cbor2.dumps(hello.to_wire()))
    welcome = _read(Welcome, _receive(transport))
    if welcome.refusal == REFUSED_VERSION:
        raise errors.VersionError(welcome.detail)
    if welcome.refusal:
        raise errors.AuthenticationError(welcome.detail)
    expected = _prove(secret, b'listen', nonce, challenge, welcome.instance)
    if not hmac.compare_digest(welcome.proof, expected):
        raise errors.AuthenticationError('the listener gave no valid proof')
    return welcome


def listen(
    transport: Transport,
    secret: bytes,
    instance: bytes = b'',
    version: int = messages.PROTOCOL_VERSION,
) -> Hello:
    """Challenges the dialler and proves the secret to it.

    A dialler may be one version newer or older; both then speak the older.

    :returns: who dialled
    :raises AuthenticationError: when the proof is refused
    :raises VersionError: when the version is refused
    """
    challenge = os.urandom(NONCE_BYTES)
    transport.send(challenge)
    hello = _read(Hello, _receive(transport))
    expected = _prove(
        secret,
        b'dial',
        challenge,
        hello.nonce,
        hello.name.encode(),
        hello.session,
        str(hello.version).encode(),
    )
    if not hmac.compare_digest(hello.proof, expected):
        error = errors.AuthenticationError('the dialler gave no valid proof')
        _refuse(transport, version, REFUSED_PROOF, error)
        raise error
    if abs(hello.version - version) > VERSION_DISTANCE:
        error = errors.VersionError(
            f'version {hello.version} is not spoken here, but {version}'
        )
        _refuse(transport, version, REFUSED_VERSION, error)
        raise error
    proof = _prove(secret, b'listen', hello.nonce, challenge, instance)
    welcome = Welcome(min(version, hello.version), instance, proof)
    transport.send(cbor2.dumps(welcome.to_wire()))
    return hello


def _refuse(
    transport: Transport, version: int, code: str, error: errors.WireError
) -> None:
    welcome = Welcome(version, refusal=code, detail=str(error))
    transport.send(cbor2.dumps(welcome.to_wire()))


def _receive(transport: Transport) -> bytes:
    data = transport.recv(timeout=HANDSHAKE_TIMEOUT_S)
    if not isinstance(data, bytes):
        raise errors.AuthenticationError('a handshake message is no text')
    return data


def _read(kind: type[records.Record], data: bytes) -> typing.Any:
    try:
        return kind.from_wire(cbor2.loads(data))
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
