"""Digests of bundles and keys, and approvers' signatures."""

import hashlib

import cbor2
from cryptography import exceptions
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519

from masticquay_bundles import errors
from masticquay_bundles import models

SIGNATURE_DOMAIN = b'masticquay bundle 1\n'


def digest_key(key: str) -> str:
    """Returns the digest under which a bundle lists a caller's key."""
    return hashlib.sha256(key.encode('utf-8')).hexdigest()


def digest_bundle(bundle: models.Bundle) -> bytes:
    """Returns the SHA-256 digest of a bundle's canonical form."""
    plain = cbor2.dumps(bundle.to_wire(), canonical=True)
    return hashlib.sha256(plain).digest()


def generate_private_key() -> ed25519.Ed25519PrivateKey:
    """Makes an approver's private key."""
    return ed25519.Ed25519PrivateKey.generate()


def load_private_key(pem: bytes) -> ed25519.Ed25519PrivateKey:
    """Reads a private key in PEM form.

    :raises SignatureError: when the bytes hold no Ed25519 key
    """
    try:
        key = serialization.load_pem_private_key(pem, password=None)
    except (ValueError, TypeError) as cause:
        raise errors.SignatureError(f'no private key: {cause}') from cause
    if not isinstance(key, ed25519.Ed25519PrivateKey):
        raise errors.SignatureError('the key is not of kind Ed25519')
    return key


def dump_private_key(key: ed25519.Ed25519PrivateKey) -> bytes:
    """Writes a private key in PEM form."""
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


def public_key_hex(key: ed25519.Ed25519PrivateKey) -> str:
    """Returns the public key in the form that a bundle lists."""
    raw = key.public_key().public_bytes(
        serialization.Encoding.Raw, serialization.PublicFormat.Raw
    )
    return raw.hex()


def sign_bundle(
    bundle: models.Bundle, approver: str, key: ed25519.Ed25519PrivateKey
) -> models.Signature:
    """Signs a bundle as one of its approvers."""
    signature = key.sign(SIGNATURE_DOMAIN + digest_bundle(bundle))
    return models.Signature(approver, signature)


def check_signatures(
    signed: models.SignedBundle, current: models.Bundle | None
) -> None:
    """Checks that enough approvers of the current bundle signed.

    The first bundle of a fleet is checked against its own approvers.

    :raises SignatureError: when too few signatures are valid
    """
    authority = current if current is not None else signed.bundle
    public_keys = {a.name: a.public_key for a in authority.approvers}
    payload = SIGNATURE_DOMAIN + digest_bundle(signed.bundle)
    valid = {
        signature.approver
        for signature in signed.signatures
        if _is_valid(public_keys.get(signature.approver), signature, payload)
    }
    if len(valid) < authority.approvals_required:
        raise errors.SignatureError(
            f'{len(valid)} of {authority.approvals_required} approvals valid'
        )


def _is_valid(
    public_key: str | None, signature: models.Signature, payload: bytes
) -> bool:
    if public_key is None:
        return False
    try:
        raw = bytes.fromhex(public_key)
        key = ed25519.Ed25519PublicKey.from_public_bytes(raw)
        key.verify(signature.signature, payload)
    except (exceptions.InvalidSignature, ValueError):
        return False
    return True
