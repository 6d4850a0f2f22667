"""What a command works with: its flags, control, and the terminal."""

import sys
import typing

from masticquay_membership import errors as membership_errors
from masticquay_operator import errors
from masticquay_operator import exits
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages

CALL_TIMEOUT_MS = 10_000


class Control(typing.Protocol):
    """The control replicas, as the command reaches them."""

    def call(
        self, message: messages.Message, timeout_ms: int
    ) -> messages.Message:
        """Sends a call to whichever replica can answer it.

        :raises RemoteError: when control refused the call
        :raises MembershipError: when no answer came in time
        """


class Context:
    """Flags and connections of one run of the command.

    :param open_control: connects to control when a command first needs it
    """

    __slots__ = (
        '_open_control',
        '_control',
        'clock',
        'timeout_ms',
        'approver',
        'private_key_file',
        'workspace',
        'label',
        'from_hour',
        'to_hour',
        'progress',
    )

    def __init__(
        self,
        open_control: typing.Callable[[], Control],
        clock: clocks.Clock,
        timeout_ms: int,
        approver: str = '',
        private_key_file: str = '',
        workspace: str = '',
        label: str = '',
        from_hour: int = 0,
        to_hour: int = 0,
        progress: typing.TextIO = sys.stderr,
    ):
        self._open_control = open_control
        self._control: Control | None = None
        self.clock = clock
        self.timeout_ms = timeout_ms
        self.approver = approver
        self.private_key_file = private_key_file
        self.workspace = workspace
        self.label = label
        self.from_hour = from_hour
        self.to_hour = to_hour
        self.progress = progress

    def call(
        self, message: messages.Message, timeout_ms: int = CALL_TIMEOUT_MS
    ) -> messages.Message:
        """Calls control.

        :raises CommandError: when control refused or did not answer
        """
        if self._control is None:
            self._control = self._open_control()
        try:
            return self._control.call(message, timeout_ms)
        except wire_errors.RemoteError as cause:
            raise errors.CommandError(
                _EXIT_BY_CODE.get(cause.code, exits.UNAVAILABLE), str(cause)
            ) from cause
        except (
            wire_errors.WireError,
            membership_errors.MembershipError,
        ) as cause:
            raise errors.CommandError(
                exits.UNAVAILABLE, f'control did not answer: {cause}'
            ) from cause

    def show_progress(self, text: str) -> None:
        """Prints a line of progress."""
        print(text, file=self.progress, flush=True)


_EXIT_BY_CODE = {
    'conflict': exits.CONFLICT,
    'unapproved': exits.UNAPPROVED,
    'unknown-key': exits.BAD_INPUT,
    'replica-change': exits.CONFLICT,
}
