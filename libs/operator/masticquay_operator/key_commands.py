"""Commands that make and withdraw keys."""

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
KEY_BYTES = 32
DIGEST_CHARACTERS = 64


class KeyIssue(bases.Command):
    """Makes a caller's key; its digest goes into the next bundle."""

    words = ('key', 'issue')
    usage = '--workspace=NAME [--label=TEXT]'
    description = 'make a key and the lines that the next bundle needs'

    def run(
        self, arguments: list[str], context: contexts.Context
    ) -> reports.Report:
        if not context.workspace:
            raise errors.UsageError('key issue: --workspace')
        key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
        digest = signatures.digest_key(key)
        line = f"- {{digest: '{digest}', workspace: {context.workspace}"
        if context.label:
            line += f', label: {context.label}'
        return reports.Report(
            {'key': key, 'digest': digest, 'bundle_line': line + '}'}
        )


class KeyWithdraw(bases.Command):
    """Withdraws a key and waits until no host accepts it."""

    words = ('key', 'withdraw')
    usage = 'DIGEST'
    argument_count = 1
    description = 'withdraw a key by its digest; ends when it is in force'

    def run(
        self, arguments: list[str], context: contexts.Context
    ) -> reports.Report:
        digest = arguments[0].lower()
        if len(digest) != DIGEST_CHARACTERS or not _is_hex(digest):
            raise errors.UsageError(
                'key withdraw: a digest has 64 hex digits; give the digest, '
                'not the key'
            )
        accepted = context.call(operator_messages.WithdrawKey(digest))
        context.show_progress('withdrawal accepted')
        return bases.wait_in_force(context, accepted)


class ApproverCreate(bases.Command):
    """Makes an approver's key pair."""

    words = ('approver', 'create')
    usage = '--approver=NAME --private_key=FILE'
    description = 'make an Ed25519 key pair for an approver of bundles'

    def run(
        self, arguments: list[str], context: contexts.Context
    ) -> reports.Report:
        if not context.approver or not context.private_key_file:
            raise errors.UsageError(
                'approver create: --approver, --private_key'
            )
        path = pathlib.Path(context.private_key_file)
        key = signatures.generate_private_key()
        try:
            _write_new_secret(path, signatures.dump_private_key(key))
        except OSError as cause:
            raise errors.InputError(str(cause)) from cause
        public_key = signatures.public_key_hex(key)
        line = f"- {{name: {context.approver}, public_key: '{public_key}'}}"
        return reports.Report(
            {'private_key_file': str(path), 'bundle_line': line}
        )


def _write_new_secret(path: pathlib.Path, data: bytes) -> None:
    """Writes a file that only its owner may read, never over another."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    with os.fdopen(os.open(path, flags, 0o600), 'wb') as file:
        file.write(data)


def _is_hex(text: str) -> bool:
    return all(character in '0123456789abcdef' for character in text)
