"""The base of all commands, and the wait for a change to be in force."""

from masticquay_membership import operator_messages
from masticquay_operator import contexts
from masticquay_operator import errors
from masticquay_operator import exits
from masticquay_operator import reports

POLL_MS = 100


class Command:
    """One command; a subclass overrides ``run``.

    ``words`` is what the operator types, ``usage`` names its arguments.
    """

    words: tuple[str, ...] = ()
    usage = ''
    argument_count = 0
    description = ''

    def run(
        self, arguments: list[str], context: contexts.Context
    ) -> reports.Report:
        """Does the job.

        :raises CommandError: when the job was not done
        """
        raise NotImplementedError

    def check_arguments(self, arguments: list[str]) -> None:
        """Checks how many arguments were given.

        :raises UsageError: when it is another number
        """
        if len(arguments) != self.argument_count:
            words = ' '.join(self.words)
            raise errors.UsageError(f'usage: masticquay {words} {self.usage}')


def wait_in_force(
    context: contexts.Context, accepted: operator_messages.CommandAccepted
) -> reports.Report:
    """Waits until a committed change is in force on every host.

    :raises CommandError: when it is not in force within the timeout
    """
    started_ms = context.clock.now_ms()
    shown: list[str] | None = None
    while True:
        progress = context.call(
            operator_messages.QueryProgress(accepted.index)
        )
        waited_ms = context.clock.now_ms() - started_ms
        if progress.in_force:
            return _report_in_force(accepted, progress, waited_ms)
        if progress.pending != shown:
            shown = progress.pending
            context.show_progress(
                f'waiting for {len(shown)} of {progress.live_count} hosts: '
                + ', '.join(shown[:10])
            )
        if waited_ms > context.timeout_ms:
            raise errors.CommandError(
                exits.NOT_IN_FORCE,
                f'accepted at index {accepted.index}, but not in force after '
                f'{waited_ms} ms; it stays accepted and will come into force',
            )
        context.clock.sleep_ms(POLL_MS)


def _report_in_force(
    accepted: operator_messages.CommandAccepted,
    progress: operator_messages.Progress,
    waited_ms: int,
) -> reports.Report:
    return reports.Report(
        {
            'index': accepted.index,
            'repeated': accepted.repeated,
            'in_force': True,
            'waited_ms': waited_ms,
            'live_hosts': progress.live_count,
            'evicted': list(progress.evicted),
        }
    )
