"""Mutual authentication of the two ends of a new link.

The listener sends a random challenge, the dialer a ``Hello`` with a random
nonce, and the listener a ``Welcome``. ``Hello`` and ``Welcome`` contain a
proof that the sender knows the fleet secret. It is an HMAC, keyed with the
secret, over the name of the sender's role, the challenge and the nonce. The
dialer's proof also covers its name, session identifier and protocol version,
the listener's its instance identifier.
"""

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
# A peer that has not authenticated may send no larger message.
MAX_HANDSHAKE_BYTES = 4 * 1024
MAX_VERSION_DIFFERENCE = 1

# Reasons why a listener refuses a link: an invalid proof, or an incompatible
# protocol version.
REFUSAL_PROOF = 'proof'
REFUSAL_VERSION = 'version'


class Transport(typing.Protocol):
    """The part of a websocket that a handshake uses."""

    def send(self, message: bytes) -> None:
        """Sends one binary message."""

    def recv(self, timeout: float | None = None) -> bytes:
        """Receives one message."""


class Hello(records.Record):
    """The dialer's name, session identifier and proof.

    :param session: identifies the dialer across reconnects
    :param nonce: random bytes that the listener's proof must cover
    """

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
    """The listener's proof, or the reason why it refuses the link.

    :param instance: random identifier, new at each start of the listener
    :param version: the version that the link uses; in a refusal, that of the
        listener
    :param refusal: one of the ``REFUSAL_`` codes, empty when accepted
    :param detail: the reason of a refusal for the dialer's log
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
    lift_size_limit: typing.Callable[[], None] = lambda: None,
) -> Welcome:
    """Runs the dialer's side of a handshake.

    :param session: identifies this dialer across reconnects
    :param lift_size_limit: called before the listener can know that the
        handshake is complete, since the messages of the link may follow
        ``Welcome`` at once
    :returns: the listener's reply
    :raises AuthenticationError: when the proof of either side is invalid,
        or a message of the listener is malformed
    :raises VersionError: when the protocol versions differ by more than one
    """
    challenge = _receive(transport)
    nonce = os.urandom(NONCE_BYTES)
    hello_parts = (nonce, name.encode(), session, str(version).encode())
    proof = _compute_proof(secret, b'dial', challenge, *hello_parts)
    hello = Hello(version, name, session, nonce, proof)
    lift_size_limit()
    transport.send(cbor2.dumps(hello.to_wire()))
    welcome = _decode(Welcome, _receive(transport))
    if welcome.refusal == REFUSAL_VERSION:
        raise errors.VersionError(welcome.detail)
    if welcome.refusal:
        raise errors.AuthenticationError(welcome.detail)
    expected = _compute_proof(
        secret, b'listen', nonce, challenge, welcome.instance
    )
    if not hmac.compare_digest(welcome.proof, expected):
        raise errors.AuthenticationError(
            'the listener failed to prove that it knows the fleet secret; '
            'the secrets of the two processes probably differ'
        )
    return welcome


def listen(
    transport: Transport,
    secret: bytes,
    instance: bytes = b'',
    version: int = messages.PROTOCOL_VERSION,
    lift_size_limit: typing.Callable[[], None] = lambda: None,
) -> Hello:
    """Runs the listener's side of a handshake.

    A dialer may be one version newer or older; the link then uses the older
    of the two versions.

    :param instance: random identifier, new at each start of the listener
    :param lift_size_limit: called once the dialer has authenticated, before
        it can know that
    :returns: the dialer's ``Hello``
    :raises AuthenticationError: when the dialer's proof is invalid or its
        message is malformed
    :raises VersionError: when the protocol versions differ by more than one
    """
    challenge = os.urandom(NONCE_BYTES)
    transport.send(challenge)
    hello = _decode(Hello, _receive(transport))
    expected = _compute_proof(
        secret,
        b'dial',
        challenge,
        hello.nonce,
        hello.name.encode(),
        hello.session,
        str(hello.version).encode(),
    )
    if not hmac.compare_digest(hello.proof, expected):
        error = errors.AuthenticationError(
            'the dialer failed to prove that it knows the fleet secret; '
            'the secrets of the two processes probably differ'
        )
        _refuse(transport, version, REFUSAL_PROOF, error)
        raise error
    if abs(hello.version - version) > MAX_VERSION_DIFFERENCE:
        error = errors.VersionError(
            f'the protocol version of the dialer is {hello.version}, that of '
            f'the listener {version}; they may differ by one at most'
        )
        _refuse(transport, version, REFUSAL_VERSION, error)
        raise error
    proof = _compute_proof(secret, b'listen', hello.nonce, challenge, instance)
    welcome = Welcome(min(version, hello.version), instance, proof)
    lift_size_limit()
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
        raise errors.AuthenticationError(
            'a handshake message must be binary, not text'
        )
    if len(data) > MAX_HANDSHAKE_BYTES:
        raise errors.AuthenticationError('a handshake message is too large')
    return data


def _decode(record_type: type[records.Record], data: bytes) -> typing.Any:
    try:
        return record_type.from_wire(cbor2.loads(data))
    except (errors.MessageError, cbor2.CBORDecodeError, ValueError) as cause:
        raise errors.AuthenticationError(
            f'malformed handshake message: {cause}'
        ) from cause


def _compute_proof(secret: bytes, *parts: bytes) -> bytes:
    """Returns an HMAC over the parts, each preceded by its length."""
    mac = hmac.new(secret, digestmod=hashlib.sha256)
    for part in parts:
        mac.update(len(part).to_bytes(4, 'big'))
        mac.update(part)
    return mac.digest()
