"""Errors in bundles and settings files."""


class BundleError(Exception):
    """A bundle or settings file is invalid."""


class Problem:
    """One problem in a YAML file and its position.

    :param path: key path of the value, for example ``endpoints[2].slots``
    :param line: line number, from 1; 0 when the file could not be read
    """

    __slots__ = ('file', 'path', 'line', 'message')

    def __init__(self, file: str, path: str, line: int, message: str):
        self.file = file
        self.path = path
        self.line = line
        self.message = message

    def __str__(self) -> str:
        return f'{self.file}:{self.line}: {self.path}: {self.message}'


class DocumentError(BundleError):
    """A YAML document is invalid; the message lists every problem."""

    def __init__(self, problems: list[Problem]):
        super().__init__('\n'.join(str(problem) for problem in problems))
        self.problems = problems


class SignatureError(BundleError):
    """A key is unusable, or a bundle lacks enough valid signatures."""
