"""Commands that create and withdraw API keys and create approvers' keys."""

import os
import pathlib
import secrets

from masticquay_bundles import signatures
from masticquay_membership import operator_messages
from masticquay_operator import bases
from masticquay_operator import contexts
from masticquay_operator import errors
from masticquay_operator import reports

KEY_PREFIX = 'mq-'
KEY_RANDOM_BYTES = 32
DIGEST_HEX_DIGITS = 64


class KeyIssue(bases.Command):
    """Creates an API key and the line for the next bundle.

    The line has the digest of the key; the key is valid once a bundle with
    this line is in force.
    """

    words = ('key', 'issue')
    usage = '--workspace=NAME [--label=TEXT]'
    description = 'create an API key and the line for the next bundle'

    def run(
        self, arguments: list[str], context: contexts.Context
    ) -> reports.Report:
        if not context.workspace:
            raise errors.UsageError('key issue requires --workspace')
        api_key = KEY_PREFIX + secrets.token_urlsafe(KEY_RANDOM_BYTES)
        digest = signatures.digest_key(api_key)
        bundle_line = f"- {{digest: '{digest}', workspace: {context.workspace}"
        if context.label:
            bundle_line += f', label: {context.label}'
        return reports.Report(
            {
                'key': api_key,
                'digest': digest,
                'bundle_line': bundle_line + '}',
            }
        )


class KeyWithdraw(bases.Command):
    """Withdraws an API key and waits until no host accepts it."""

    words = ('key', 'withdraw')
    usage = 'DIGEST'
    argument_count = 1
    description = (
        'withdraw an API key by its digest; wait until it is in force'
    )

    def run(
        self, arguments: list[str], context: contexts.Context
    ) -> reports.Report:
        digest = arguments[0].lower()
        if len(digest) != DIGEST_HEX_DIGITS or not _is_hex(digest):
            raise errors.UsageError(
                'key withdraw requires the digest of the key, 64 hex digits, '
                'not the key itself'
            )
        accepted = context.call(operator_messages.WithdrawKey(digest))
        context.show_progress('withdrawal accepted')
        return bases.wait_until_in_force(context, accepted)


class ApproverCreate(bases.Command):
    """Creates an approver's key pair and the line for the next bundle."""

    words = ('approver', 'create')
    usage = '--approver=NAME --private_key=FILE'
    description = 'create an Ed25519 key pair for an approver of bundles'

    def run(
        self, arguments: list[str], context: contexts.Context
    ) -> reports.Report:
        if not context.approver or not context.private_key_file:
            raise errors.UsageError(
                'approver create requires --approver and --private_key'
            )
        path = pathlib.Path(context.private_key_file)
        private_key = signatures.generate_private_key()
        try:
            _create_secret_file(path, signatures.dump_private_key(private_key))
        except OSError as cause:
            raise errors.InputError(str(cause)) from cause
        public_key = signatures.public_key_hex(private_key)
        bundle_line = (
            f"- {{name: {context.approver}, public_key: '{public_key}'}}"
        )
        return reports.Report(
            {'private_key_file': str(path), 'bundle_line': bundle_line}
        )


def _create_secret_file(path: pathlib.Path, data: bytes) -> None:
    """Creates a file that only its owner may read.

    :raises FileExistsError: when the file exists
    """
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    with os.fdopen(os.open(path, flags, 0o600), 'wb') as file:
        file.write(data)


def _is_hex(text: str) -> bool:
    return all(character in '0123456789abcdef' for character in text)
