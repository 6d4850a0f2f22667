"""Digests of bundles and API keys, and approvers' signatures."""

import hashlib

import cbor2
from cryptography import exceptions
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519

from masticquay_bundles import errors
from masticquay_bundles import models

# Prefix of the signed bytes, so that a signature made for another purpose
# with the same key is not valid for a bundle.
SIGNATURE_DOMAIN = b'masticquay bundle 1\n'


def digest_key(api_key: str) -> str:
    """Returns the SHA-256 digest in hex by which a bundle lists an API key."""
    return hashlib.sha256(api_key.encode('utf-8')).hexdigest()


def digest_bundle(bundle: models.Bundle) -> bytes:
    """Returns the SHA-256 digest of a bundle's canonical CBOR encoding."""
    encoded = cbor2.dumps(bundle.to_wire(), canonical=True)
    return hashlib.sha256(encoded).digest()


def generate_private_key() -> ed25519.Ed25519PrivateKey:
    """Generates an approver's private key."""
    return ed25519.Ed25519PrivateKey.generate()


def load_private_key(pem: bytes) -> ed25519.Ed25519PrivateKey:
    """Decodes an approver's private key from PEM.

    :raises SignatureError: when the PEM is not a valid Ed25519 private key
    """
    try:
        private_key = serialization.load_pem_private_key(pem, password=None)
    except (ValueError, TypeError) as cause:
        raise errors.SignatureError(
            f'the PEM is not a valid private key: {cause}'
        ) from cause
    if not isinstance(private_key, ed25519.Ed25519PrivateKey):
        raise errors.SignatureError('the private key is not an Ed25519 key')
    return private_key


def dump_private_key(private_key: ed25519.Ed25519PrivateKey) -> bytes:
    """Encodes a private key as unencrypted PEM."""
    return private_key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


def public_key_hex(private_key: ed25519.Ed25519PrivateKey) -> str:
    """Returns the public key of a private key in hex, as bundles list it."""
    raw = private_key.public_key().public_bytes(
        serialization.Encoding.Raw, serialization.PublicFormat.Raw
    )
    return raw.hex()


def sign_bundle(
    bundle: models.Bundle,
    approver: str,
    private_key: ed25519.Ed25519PrivateKey,
) -> models.Signature:
    """Signs the digest of a bundle.

    :param approver: the name of the approver to whom the key belongs
    """
    signature = private_key.sign(SIGNATURE_DOMAIN + digest_bundle(bundle))
    return models.Signature(approver, signature)


def check_signatures(
    signed_bundle: models.SignedBundle, current_bundle: models.Bundle | None
) -> None:
    """Checks that enough approvers of the current bundle signed a new one.

    Several signatures of one approver count once. The first bundle of a fleet
    is checked against its own approvers.

    :param current_bundle: the bundle to be replaced, None for the first one
    :raises SignatureError: when too few signatures are valid
    """
    trusted_bundle = (
        current_bundle if current_bundle is not None else signed_bundle.bundle
    )
    public_keys = {a.name: a.public_key for a in trusted_bundle.approvers}
    payload = SIGNATURE_DOMAIN + digest_bundle(signed_bundle.bundle)
    valid_approvers = {
        signature.approver
        for signature in signed_bundle.signatures
        if _is_valid_signature(
            public_keys.get(signature.approver), signature, payload
        )
    }
    if len(valid_approvers) < trusted_bundle.approvals_required:
        raise errors.SignatureError(
            f'{len(valid_approvers)} of '
            f'{trusted_bundle.approvals_required} required approvals are valid'
        )


def _is_valid_signature(
    public_key: str | None, signature: models.Signature, payload: bytes
) -> bool:
    if public_key is None:
        return False
    try:
        raw = bytes.fromhex(public_key)
        verifier = ed25519.Ed25519PublicKey.from_public_bytes(raw)
        verifier.verify(signature.signature, payload)
    except (exceptions.InvalidSignature, ValueError):
        return False
    return True
