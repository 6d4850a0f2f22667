"""YAML documents with the line number of each value."""

import pathlib
import typing

import jsonschema
import yaml

from masticquay_bundles import errors

KeyPath = tuple[str | int, ...]


class Document:
    """The parsed value of a YAML file and the line of each key path.

    A key path is the tuple of keys and list indexes that lead to a value.
    """

    __slots__ = ('file', 'value', '_lines')

    def __init__(
        self, file: str, value: typing.Any, lines: dict[KeyPath, int]
    ):
        self.file = file
        self.value = value
        self._lines = lines

    def line_of(self, path: KeyPath) -> int:
        """Returns the line of a key path, or of its nearest known parent.

        Lines are counted from 1.
        """
        while path not in self._lines and path:
            path = path[:-1]
        return self._lines.get(path, 1)

    def make_problem(self, path: KeyPath, message: str) -> errors.Problem:
        """Returns a problem at a key path, with its line."""
        return errors.Problem(
            self.file, format_path(path), self.line_of(path), message
        )


def format_path(path: KeyPath) -> str:
    """Formats a key path, for example as ``keys[0].name``."""
    text = ''
    for part in path:
        if isinstance(part, int):
            text += f'[{part}]'
        else:
            text += f'.{part}' if text else part
    return text or '(root)'


def load_document(path: pathlib.Path) -> Document:
    """Reads a YAML file.

    :raises DocumentError: when the file is unreadable or empty, is not valid
        YAML or has a duplicate key
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as cause:
        problem = errors.Problem(str(path), '(file)', 0, str(cause))
        raise errors.DocumentError([problem]) from cause
    return parse_document(text, str(path))


def parse_document(text: str, file: str = '(text)') -> Document:
    """Parses YAML text.

    :param file: the file name to show in problems
    :raises DocumentError: when the text is empty, is not valid YAML or has
        a duplicate key
    """
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.YAMLError as cause:
        mark = getattr(cause, 'problem_mark', None)
        line = mark.line + 1 if mark else 1
        reason = getattr(cause, 'problem', None) or str(cause)
        problem = errors.Problem(file, '(yaml)', line, reason)
        raise errors.DocumentError([problem]) from cause
    if node is None:
        problem = errors.Problem(file, '(root)', 1, 'the document is empty')
        raise errors.DocumentError([problem])
    reader = _NodeReader(file)
    value = reader.read(node, ())
    if reader.problems:
        raise errors.DocumentError(reader.problems)
    return Document(file, value, reader.lines)


class _NodeReader:
    """Converts YAML nodes to plain values and records their lines."""

    __slots__ = ('file', 'lines', 'problems', '_loader')

    def __init__(self, file: str):
        self.file = file
        self.lines: dict[KeyPath, int] = {}
        self.problems: list[errors.Problem] = []
        self._loader = yaml.SafeLoader('')

    def read(self, node: yaml.Node, path: KeyPath) -> typing.Any:
        """Returns the value of a node, including all nested values."""
        self.lines.setdefault(path, node.start_mark.line + 1)
        if isinstance(node, yaml.MappingNode):
            return self._read_mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            return [
                self.read(item, (*path, index))
                for index, item in enumerate(node.value)
            ]
        return self._loader.construct_object(node, deep=True)

    def _read_mapping(self, node: yaml.MappingNode, path: KeyPath) -> dict:
        values = {}
        for key_node, value_node in node.value:
            key = self._loader.construct_object(key_node, deep=True)
            key_path = (*path, str(key))
            line = key_node.start_mark.line + 1
            if key in values:
                self.problems.append(
                    errors.Problem(
                        self.file, format_path(key_path), line, 'duplicate key'
                    )
                )
            self.lines[key_path] = line
            values[key] = self.read(value_node, key_path)
        return values


def check_schema(
    document: Document, schema: dict[str, typing.Any]
) -> list[errors.Problem]:
    """Returns every violation of a JSON schema, sorted by line."""
    validator = jsonschema.Draft202012Validator(schema)
    problems = []
    for violation in validator.iter_errors(document.value):
        problems.extend(_make_problems(document, violation))
    problems.sort(key=lambda problem: problem.line)
    return problems


def _make_problems(
    document: Document, violation: jsonschema.ValidationError
) -> list[errors.Problem]:
    path = tuple(violation.absolute_path)
    if violation.validator == 'additionalProperties':
        known = violation.schema.get('properties', {})
        return [
            document.make_problem((*path, str(key)), 'unknown key')
            for key in violation.instance
            if key not in known
        ]
    if violation.validator == 'required':
        # Each missing key is a violation of its own; only the message says
        # which key it is.
        key = violation.message.split("'")[1]
        return [document.make_problem(path, f'missing key {key}')]
    return [document.make_problem(path, violation.message)]
