"""Base class of the commands, and the wait for a change to be in force."""

from masticquay_membership import operator_messages
from masticquay_operator import contexts
from masticquay_operator import errors
from masticquay_operator import exits
from masticquay_operator import reports

# Interval at which a waiting command asks control for progress.
POLL_INTERVAL_MS = 100


class Command:
    """Base class of the commands; a subclass overrides ``run``.

    ``words`` select the command on the command line. ``usage`` lists its
    arguments and the flags that it reads. ``argument_count`` does not include
    ``words`` and flags.
    """

    words: tuple[str, ...] = ()
    usage = ''
    argument_count = 0
    description = ''

    def run(
        self, arguments: list[str], context: contexts.Context
    ) -> reports.Report:
        """Runs the command and returns its report.

        :param arguments: the words that follow the command's own words
        :raises CommandError: when the command failed
        """
        raise NotImplementedError

    def check_arguments(self, arguments: list[str]) -> None:
        """Checks the number of arguments.

        :raises UsageError: when it is not ``argument_count``
        """
        if len(arguments) != self.argument_count:
            words = ' '.join(self.words)
            raise errors.UsageError(f'usage: masticquay {words} {self.usage}')


def wait_until_in_force(
    context: contexts.Context, accepted: operator_messages.CommandAccepted
) -> reports.Report:
    """Waits until a committed change is in force on every live host.

    :param accepted: control's answer, with the index of the change in the log
    :returns: a report with the time waited and the hosts evicted meanwhile
    :raises CommandError: when the change is not in force within the timeout;
        it remains committed
    """
    started_ms = context.clock.now_ms()
    shown_pending: list[str] | None = None
    while True:
        progress = context.call(
            operator_messages.QueryProgress(accepted.index)
        )
        waited_ms = context.clock.now_ms() - started_ms
        if progress.in_force:
            return _make_in_force_report(accepted, progress, waited_ms)
        if progress.pending != shown_pending:
            shown_pending = progress.pending
            context.show_progress(
                f'waiting for {len(shown_pending)} of '
                f'{progress.live_count} hosts: '
                + ', '.join(shown_pending[:10])
            )
        if waited_ms > context.timeout_ms:
            raise errors.CommandError(
                exits.NOT_IN_FORCE,
                f'accepted at index {accepted.index}, but not in force after '
                f'{waited_ms} ms; it remains accepted and will come into '
                'force',
            )
        context.clock.sleep_ms(POLL_INTERVAL_MS)


def _make_in_force_report(
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
