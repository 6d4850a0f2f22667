"""Bundle files and their signature files.

The signatures of ``FILE`` are stored in ``FILE.signatures``, with the digest
of the bundle that they sign.
"""

import pathlib

from returns import pipeline
import yaml

from masticquay_bundles import checks
from masticquay_bundles import documents
from masticquay_bundles import errors as bundle_errors
from masticquay_bundles import models
from masticquay_bundles import schemas
from masticquay_bundles import signatures
from masticquay_operator import errors

SIGNATURE_SUFFIX = '.signatures'
SIGNATURE_SCHEMA: schemas.Schema = {
    'type': 'object',
    'additionalProperties': False,
    'required': ['digest', 'signatures'],
    'properties': {
        'digest': schemas.HEX_32_BYTES,
        'signatures': {
            'type': 'object',
            'additionalProperties': {
                'type': 'string',
                'pattern': '^[0-9a-f]{128}$',
            },
        },
    },
}


def read_bundle(path: str) -> models.Bundle:
    """Reads and checks a bundle file.

    :raises InputError: when the file is invalid; lists one problem per line
    """
    checked = checks.check_file(pathlib.Path(path))
    if pipeline.is_successful(checked):
        return checked.unwrap()
    message = '\n'.join(str(problem) for problem in checked.failure())
    raise errors.InputError(message)


def read_signatures(
    path: str, bundle: models.Bundle
) -> list[models.Signature]:
    """Reads the signatures of a bundle file without verifying them.

    :returns: the signatures, empty when there is no signature file
    :raises InputError: when the signature file is invalid, or was made for
        other contents of the bundle file
    """
    file = pathlib.Path(path + SIGNATURE_SUFFIX)
    if not file.exists():
        return []
    try:
        document = documents.load_document(file)
    except bundle_errors.DocumentError as cause:
        raise errors.InputError(str(cause)) from cause
    problems = documents.check_schema(document, SIGNATURE_SCHEMA)
    if problems:
        raise errors.InputError('\n'.join(str(p) for p in problems))
    if document.value['digest'] != signatures.digest_bundle(bundle).hex():
        raise errors.InputError(
            f'{file}: the digest does not match {path}; sign it again'
        )
    return [
        models.Signature(name, bytes.fromhex(signature))
        for name, signature in document.value['signatures'].items()
    ]


def write_signatures(
    path: str, bundle: models.Bundle, signature_list: list[models.Signature]
) -> str:
    """Writes the signature file of a bundle file and returns its path."""
    file = pathlib.Path(path + SIGNATURE_SUFFIX)
    value = {
        'digest': signatures.digest_bundle(bundle).hex(),
        'signatures': {s.approver: s.signature.hex() for s in signature_list},
    }
    file.write_text(yaml.safe_dump(value), encoding='utf-8')
    return str(file)
