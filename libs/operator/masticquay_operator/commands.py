"""The command line ``masticquay``: finds the command and runs it."""

import pathlib
import sys
import typing

from absl import app
from absl import flags

from masticquay_membership import clients
from masticquay_operator import bases
from masticquay_operator import bundle_commands
from masticquay_operator import contexts
from masticquay_operator import errors
from masticquay_operator import exits
from masticquay_operator import fleet_commands
from masticquay_operator import key_commands
from masticquay_operator import replica_commands
from masticquay_operator import reports
from masticquay_wire import clocks

OPERATOR_NAME = 'operator'

FLAGS = flags.FLAGS
flags.DEFINE_list('control', [], 'Addresses of control replicas, ip:port.')
flags.DEFINE_string('secret_file', '', 'File with the secret of the fleet.')
flags.DEFINE_enum('format', 'text', reports.FORMATS, 'Form of the output.')
flags.DEFINE_integer(
    'timeout_s', 30, 'How long to wait for a change to be in force.', 1
)
flags.DEFINE_string('approver', '', 'Name of an approver.')
flags.DEFINE_string('private_key', '', "File of an approver's private key.")
flags.DEFINE_string('workspace', '', 'Name of a workspace.')
flags.DEFINE_string('label', '', 'Note beside a new key.')
flags.DEFINE_string('from_hour', '', 'First hour, ISO 8601.')
flags.DEFINE_string('to_hour', '', 'Last hour, ISO 8601.')

COMMANDS: list[bases.Command] = [
    bundle_commands.BundleCheck(),
    bundle_commands.BundleSign(),
    bundle_commands.BundleRoll(),
    bundle_commands.BundleShow(),
    bundle_commands.BundleStatus(),
    key_commands.KeyIssue(),
    key_commands.KeyWithdraw(),
    key_commands.ApproverCreate(),
    fleet_commands.Usage(),
    fleet_commands.Refusals(),
    fleet_commands.Hosts(),
    fleet_commands.Endpoints(),
    replica_commands.ReplicaAdd(),
    replica_commands.ReplicaRemove(),
]


def find_command(words: list[str]) -> tuple[bases.Command, list[str]]:
    """Returns the command that the words name, and its arguments.

    :raises UsageError: when no command has that name
    """
    for command in COMMANDS:
        count = len(command.words)
        if tuple(words[:count]) == command.words:
            return command, words[count:]
    raise errors.UsageError(list_commands())


def list_commands() -> str:
    """Returns one line for each command."""
    lines = ['usage: masticquay [flags] COMMAND', '']
    for command in COMMANDS:
        words = ' '.join(command.words)
        lines.append(f'  {words:18} {command.description}')
    lines.append('')
    lines.append('flags: masticquay --help')
    return '\n'.join(lines)


def execute(
    words: list[str],
    context: contexts.Context,
    form: str,
    output: typing.TextIO,
) -> int:
    """Runs one command, prints its report and returns the exit code."""
    try:
        command, arguments = find_command(words)
        command.check_arguments(arguments)
        report = command.run(arguments, context)
    except errors.CommandError as cause:
        print(cause, file=context.progress)
        return cause.exit_code
    output.write(reports.render(report, form))
    return exits.OK


def main(arguments: list[str]) -> int:
    """Runs the command that the command line names."""
    try:
        context = _make_context()
    except (errors.CommandError, ValueError) as cause:
        print(cause, file=sys.stderr)
        return exits.USAGE
    return execute(arguments[1:], context, FLAGS.format, sys.stdout)


def run() -> None:
    """Entry point of the installed script."""
    app.run(main)


def _make_context() -> contexts.Context:
    return contexts.Context(
        _open_control,
        clocks.MonotonicClock(),
        FLAGS.timeout_s * 1_000,
        approver=FLAGS.approver,
        private_key_file=FLAGS.private_key,
        workspace=FLAGS.workspace,
        label=FLAGS.label,
        from_hour=fleet_commands.parse_hour(FLAGS.from_hour),
        to_hour=fleet_commands.parse_hour(FLAGS.to_hour),
    )


def _open_control() -> contexts.Control:
    if not FLAGS.control:
        raise errors.UsageError('--control: at least one address')
    if not FLAGS.secret_file:
        raise errors.UsageError('--secret_file: the file of the secret')
    try:
        secret = pathlib.Path(FLAGS.secret_file).read_bytes().strip()
    except OSError as cause:
        raise errors.InputError(str(cause)) from cause
    try:
        return clients.ControlClient(FLAGS.control, OPERATOR_NAME, secret)
    except ValueError as cause:
        raise errors.UsageError(f'--control: {cause}') from cause


if __name__ == '__main__':
    run()
