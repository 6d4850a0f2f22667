"""Errors of bundles and settings."""


class BundleError(Exception):
    """A bundle or a settings file was refused."""


class Problem:
    """One fault of a YAML document, with the place where it stands.

    :param path: the keys down to the fault, for example ``endpoints[2].slots``
    :param line: line number in the file, from 1
    """

    __slots__ = ('file', 'path', 'line', 'text')

    def __init__(self, file: str, path: str, line: int, text: str):
        self.file = file
        self.path = path
        self.line = line
        self.text = text

    def __str__(self) -> str:
        return f'{self.file}:{self.line}: {self.path}: {self.text}'


class DocumentError(BundleError):
    """A YAML document has faults; all of them are listed."""

    def __init__(self, problems: list[Problem]):
        super().__init__('\n'.join(str(problem) for problem in problems))
        self.problems = problems


class SignatureError(BundleError):
    """A bundle lacks valid signatures of enough approvers."""
