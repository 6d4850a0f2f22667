"""Errors of the ``masticquay`` command."""

from masticquay_operator import exits


class CommandError(Exception):
    """A command failed.

    :param exit_code: a constant of ``exits``
    """

    def __init__(self, exit_code: int, message: str):
        super().__init__(message)
        self.exit_code = exit_code


class UsageError(CommandError):
    """The command line is invalid."""

    def __init__(self, message: str):
        super().__init__(exits.USAGE, message)


class InputError(CommandError):
    """An input file is missing or invalid, or a file cannot be written."""

    def __init__(self, message: str):
        super().__init__(exits.BAD_INPUT, message)
