"""The context of a command: its flags, control client and error stream."""

import sys
import typing

from masticquay_membership import errors as membership_errors
from masticquay_operator import errors
from masticquay_operator import exits
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages

CALL_TIMEOUT_MS = 10_000


class Client(typing.Protocol):
    """A client that calls the control replicas."""

    def call(
        self, message: messages.Message, timeout_ms: int
    ) -> messages.Message:
        """Sends a call to any replica that can answer it, returns the answer.

        :raises RemoteError: when control rejected the call
        :raises MembershipError: when the call timed out
        """


class Context:
    """Flags, client and error stream of one run of a command.

    :param open_client: makes the client at the first call to control
    :param timeout_ms: how long to wait for a change to take effect
    :param approver: name of the approver who signs or is created
    :param workspace: name of the workspace, empty for all when showing usage
    :param label: label of the API key to create
    :param from_hour: first hour to include, in hours since 1970 in UTC, 0
        for no limit
    :param to_hour: last hour to include, 0 for no limit
    :param stderr: stream for progress and error messages
    """

    __slots__ = (
        '_open_client',
        '_client',
        'clock',
        'timeout_ms',
        'approver',
        'private_key_file',
        'workspace',
        'label',
        'from_hour',
        'to_hour',
        'stderr',
    )

    def __init__(
        self,
        open_client: typing.Callable[[], Client],
        clock: clocks.Clock,
        timeout_ms: int,
        approver: str = '',
        private_key_file: str = '',
        workspace: str = '',
        label: str = '',
        from_hour: int = 0,
        to_hour: int = 0,
        stderr: typing.TextIO = sys.stderr,
    ):
        self._open_client = open_client
        self._client: Client | None = None
        self.clock = clock
        self.timeout_ms = timeout_ms
        self.approver = approver
        self.private_key_file = private_key_file
        self.workspace = workspace
        self.label = label
        self.from_hour = from_hour
        self.to_hour = to_hour
        self.stderr = stderr

    def call(
        self, message: messages.Message, timeout_ms: int = CALL_TIMEOUT_MS
    ) -> messages.Message:
        """Sends a call to control and returns the answer.

        :raises CommandError: when control rejected the call or did not
            answer
        """
        if self._client is None:
            self._client = self._open_client()
        try:
            return self._client.call(message, timeout_ms)
        except wire_errors.RemoteError as cause:
            raise errors.CommandError(
                _EXIT_BY_ERROR_CODE.get(cause.code, exits.UNAVAILABLE),
                str(cause),
            ) from cause
        except (
            wire_errors.WireError,
            membership_errors.MembershipError,
        ) as cause:
            raise errors.CommandError(
                exits.UNAVAILABLE, f'control did not answer: {cause}'
            ) from cause

    def show_progress(self, message: str) -> None:
        """Prints a progress message to the error stream."""
        print(message, file=self.stderr, flush=True)


# Exit codes by the error code of control; others are UNAVAILABLE.
_EXIT_BY_ERROR_CODE = {
    'conflict': exits.CONFLICT,
    'unapproved': exits.UNAPPROVED,
    'unknown-key': exits.BAD_INPUT,
    'replica-change': exits.CONFLICT,
}
