"""Errors of the operators' command."""

from masticquay_operator import exits


class CommandError(Exception):
    """A command ended without doing its job.

    :param exit_code: one of the constants of ``exits``
    """

    def __init__(self, exit_code: int, text: str):
        super().__init__(text)
        self.exit_code = exit_code


class UsageError(CommandError):
    """The command line is wrong."""

    def __init__(self, text: str):
        super().__init__(exits.USAGE, text)


class InputError(CommandError):
    """A file was refused."""

    def __init__(self, text: str):
        super().__init__(exits.BAD_INPUT, text)
