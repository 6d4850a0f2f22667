"""Commands that check, sign, roll out and show bundles."""

import pathlib

from masticquay_bundles import errors as bundle_errors
from masticquay_bundles import models
from masticquay_bundles import signatures
from masticquay_membership import operator_messages
from masticquay_operator import bases
from masticquay_operator import bundle_files
from masticquay_operator import contexts
from masticquay_operator import errors
from masticquay_operator import exits
from masticquay_operator import replica_commands
from masticquay_operator import reports


class BundleCheck(bases.Command):
    """Checks a bundle file and lists its signers, without calling control.

    The signatures are not verified.
    """

    words = ('bundle', 'check')
    usage = 'FILE'
    argument_count = 1
    description = 'check a bundle file; list every problem with key and line'

    def run(
        self, arguments: list[str], context: contexts.Context
    ) -> reports.Report:
        bundle = bundle_files.read_bundle(arguments[0])
        signature_list = bundle_files.read_signatures(arguments[0], bundle)
        return reports.Report(
            {
                'version': bundle.version,
                'digest': signatures.digest_bundle(bundle).hex(),
                'workspaces': len(bundle.workspaces),
                'keys': len(bundle.keys),
                'routes': len(bundle.routes),
                'endpoints': len(bundle.endpoints),
                'signed_by': [s.approver for s in signature_list],
                'approvals_required': bundle.approvals_required,
            }
        )


class BundleSign(bases.Command):
    """Adds an approver's signature to the bundle's signature file.

    Replaces an earlier signature of the same approver, and drops signatures
    that were made for other contents of the bundle file.
    """

    words = ('bundle', 'sign')
    usage = 'FILE --approver=NAME --private_key=FILE'
    argument_count = 1
    description = 'sign a bundle file as one of its approvers'

    def run(
        self, arguments: list[str], context: contexts.Context
    ) -> reports.Report:
        if not context.approver or not context.private_key_file:
            raise errors.UsageError(
                'bundle sign requires --approver and --private_key'
            )
        path = arguments[0]
        bundle = bundle_files.read_bundle(path)
        private_key = _read_private_key(context.private_key_file)
        signature = signatures.sign_bundle(
            bundle, context.approver, private_key
        )
        signature_list = [
            other
            for other in _read_current_signatures(path, bundle)
            if other.approver != context.approver
        ]
        signature_list.append(signature)
        file = bundle_files.write_signatures(path, bundle, signature_list)
        return reports.Report(
            {
                'file': file,
                'digest': signatures.digest_bundle(bundle).hex(),
                'signed_by': [s.approver for s in signature_list],
            }
        )


class BundleRoll(bases.Command):
    """Rolls out a signed bundle and waits until it is in force.

    Control rejects it when another bundle has been accepted meanwhile.
    """

    words = ('bundle', 'roll')
    usage = 'FILE'
    argument_count = 1
    description = 'roll out a signed bundle; wait until it is in force'

    def run(
        self, arguments: list[str], context: contexts.Context
    ) -> reports.Report:
        bundle = bundle_files.read_bundle(arguments[0])
        signature_list = bundle_files.read_signatures(arguments[0], bundle)
        status = context.call(operator_messages.QueryStatus())
        accepted = context.call(
            operator_messages.RollBundle(
                models.SignedBundle(bundle, signature_list),
                status.bundle_version,
                status.bundle_digest,
            )
        )
        context.show_progress(f'bundle version {bundle.version} accepted')
        return bases.wait_until_in_force(context, accepted)


class BundleShow(bases.Command):
    """Shows the contents of the newest accepted bundle."""

    words = ('bundle', 'show')
    description = 'show workspaces, models, routes and endpoints'

    def run(
        self, arguments: list[str], context: contexts.Context
    ) -> reports.Report:
        signed_bundle = context.call(operator_messages.QueryBundle())
        bundle = signed_bundle.bundle
        rows: list[list[reports.Cell]] = []
        for workspace in bundle.workspaces:
            detail = (
                f'{workspace.rate_tokens_per_s} tokens/s, burst '
                f'{workspace.burst_tokens}, weight {workspace.weight}'
            )
            rows.append(['workspace', workspace.name, detail])
        for model in bundle.models:
            rows.append(['model', model.name, model.version])
        for route in bundle.routes:
            detail = f'{route.access}, {"/".join(route.methods)}'
            rows.append(['route', route.path, detail])
        for endpoint in bundle.endpoints:
            target = endpoint.model or endpoint.service
            detail = f'{target} in {endpoint.place}, {endpoint.address}'
            rows.append(['endpoint', endpoint.name, detail])
        return reports.Report(
            {
                'version': bundle.version,
                'digest': signatures.digest_bundle(bundle).hex(),
                'signed_by': [s.approver for s in signed_bundle.signatures],
            },
            ['kind', 'name', 'detail'],
            rows,
        )


class BundleStatus(bases.Command):
    """Shows whether the newest accepted bundle is in force."""

    words = ('bundle', 'status')
    description = 'show the newest bundle and whether it is in force'

    def run(
        self, arguments: list[str], context: contexts.Context
    ) -> reports.Report:
        status = context.call(operator_messages.QueryStatus())
        if status.bundle_version == 0:
            raise errors.CommandError(
                exits.BAD_INPUT, 'no bundle has been accepted yet'
            )
        progress = context.call(
            operator_messages.QueryProgress(status.bundle_index)
        )
        return replica_commands.make_replica_report(
            {
                'version': status.bundle_version,
                'digest': status.bundle_digest.hex(),
                'in_force': progress.in_force,
                'live_hosts': progress.live_count,
                'pending': list(progress.pending),
                'withdrawn_keys': status.withdrawn_count,
            },
            status.replicas,
        )


def _read_private_key(path: str) -> signatures.ed25519.Ed25519PrivateKey:
    try:
        pem = pathlib.Path(path).read_bytes()
        return signatures.load_private_key(pem)
    except (OSError, bundle_errors.SignatureError) as cause:
        raise errors.InputError(f'{path}: {cause}') from cause


def _read_current_signatures(
    path: str, bundle: models.Bundle
) -> list[models.Signature]:
    """Returns the existing signatures that match a bundle's contents.

    Returns an empty list when the signature file is missing, invalid or made
    for other contents of the bundle, so that signing replaces it.
    """
    try:
        return bundle_files.read_signatures(path, bundle)
    except errors.InputError:
        return []
