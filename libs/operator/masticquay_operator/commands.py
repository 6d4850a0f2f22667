"""Entry point of ``masticquay``: finds a command and runs it."""

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

# The name that this client states when it connects to control.
CLIENT_NAME = 'operator'

FLAGS = flags.FLAGS
flags.DEFINE_list(
    'control', [], 'Addresses of the control replicas, as ip:port.'
)
flags.DEFINE_string('secret_file', '', 'File that contains the fleet secret.')
flags.DEFINE_enum('format', 'text', reports.FORMATS, 'Output format.')
flags.DEFINE_integer(
    'timeout_s', 30, 'Seconds to wait for a change to take effect.', 1
)
flags.DEFINE_string('approver', '', 'Name of the approver.')
flags.DEFINE_string('private_key', '', "File of the approver's private key.")
flags.DEFINE_string('workspace', '', 'Name of the workspace.')
flags.DEFINE_string('label', '', 'Label of the new key.')
flags.DEFINE_string(
    'from_hour', '', 'Time in the first hour to include, as ISO 8601.'
)
flags.DEFINE_string(
    'to_hour', '', 'Time in the last hour to include, as ISO 8601.'
)

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
    """Returns the command that the words start with, and its arguments.

    :param words: the command line without flags
    :raises UsageError: when there is no such command
    """
    for command in COMMANDS:
        count = len(command.words)
        if tuple(words[:count]) == command.words:
            return command, words[count:]
    raise errors.UsageError(format_usage())


def format_usage() -> str:
    """Returns the usage text, with one line for each command."""
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
    output_format: str,
    stdout: typing.TextIO,
) -> int:
    """Runs one command, prints its report or error, returns the exit code."""
    try:
        command, arguments = find_command(words)
        command.check_arguments(arguments)
        report = command.run(arguments, context)
    except errors.CommandError as cause:
        print(cause, file=context.stderr)
        return cause.exit_code
    stdout.write(reports.render(report, output_format))
    return exits.OK


def main(arguments: list[str]) -> int:
    """Runs the command given on the command line; returns the exit code."""
    try:
        context = _make_context()
    except (errors.CommandError, ValueError) as cause:
        print(cause, file=sys.stderr)
        return exits.USAGE
    return execute(arguments[1:], context, FLAGS.format, sys.stdout)


def run() -> None:
    """Runs ``main`` as the installed script."""
    app.run(main)


def _make_context() -> contexts.Context:
    return contexts.Context(
        _open_client,
        clocks.MonotonicClock(),
        FLAGS.timeout_s * 1_000,
        approver=FLAGS.approver,
        private_key_file=FLAGS.private_key,
        workspace=FLAGS.workspace,
        label=FLAGS.label,
        from_hour=fleet_commands.parse_hour(FLAGS.from_hour),
        to_hour=fleet_commands.parse_hour(FLAGS.to_hour),
    )


def _open_client() -> contexts.Client:
    if not FLAGS.control:
        raise errors.UsageError('--control requires at least one address')
    if not FLAGS.secret_file:
        raise errors.UsageError('--secret_file is required')
    try:
        secret = pathlib.Path(FLAGS.secret_file).read_bytes().strip()
    except OSError as cause:
        raise errors.InputError(str(cause)) from cause
    try:
        return clients.ControlClient(FLAGS.control, CLIENT_NAME, secret)
    except ValueError as cause:
        raise errors.UsageError(f'--control: {cause}') from cause


if __name__ == '__main__':
    run()
