"""YAML documents that know the line of each of their values."""

import pathlib
import typing

import jsonschema
import yaml

from masticquay_bundles import errors

Path = tuple[str | int, ...]


class Document:
    """The plain value of a YAML file, and the line of each path in it."""

    __slots__ = ('file', 'value', '_lines')

    def __init__(self, file: str, value: typing.Any, lines: dict[Path, int]):
        self.file = file
        self.value = value
        self._lines = lines

    def line_of(self, path: Path) -> int:
        """Returns the line of a path, or of its nearest known parent."""
        while path not in self._lines and path:
            path = path[:-1]
        return self._lines.get(path, 1)

    def problem(self, path: Path, text: str) -> errors.Problem:
        """Describes a fault at a path."""
        return errors.Problem(
            self.file, format_path(path), self.line_of(path), text
        )


def format_path(path: Path) -> str:
    """Writes a path as ``keys[0].name``."""
    text = ''
    for part in path:
        if isinstance(part, int):
            text += f'[{part}]'
        else:
            text += f'.{part}' if text else part
    return text or '(top)'


def load_document(path: pathlib.Path) -> Document:
    """Reads a YAML file.

    :raises DocumentError: when the file is unreadable or no valid YAML
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as cause:
        problem = errors.Problem(str(path), '(file)', 0, str(cause))
        raise errors.DocumentError([problem]) from cause
    return parse_document(text, str(path))


def parse_document(text: str, file: str = '(text)') -> Document:
    """Reads YAML text.

    :raises DocumentError: when the text is no valid YAML, or repeats a key
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
        problem = errors.Problem(file, '(top)', 1, 'the file is empty')
        raise errors.DocumentError([problem])
    reader = _NodeReader(file)
    value = reader.read(node, ())
    if reader.problems:
        raise errors.DocumentError(reader.problems)
    return Document(file, value, reader.lines)


class _NodeReader:
    """Turns YAML nodes into plain values, noting lines."""

    __slots__ = ('file', 'lines', 'problems', '_loader')

    def __init__(self, file: str):
        self.file = file
        self.lines: dict[Path, int] = {}
        self.problems: list[errors.Problem] = []
        self._loader = yaml.SafeLoader('')

    def read(self, node: yaml.Node, path: Path) -> typing.Any:
        """Returns the value of a node and of all below it."""
        self.lines.setdefault(path, node.start_mark.line + 1)
        if isinstance(node, yaml.MappingNode):
            return self._read_map(node, path)
        if isinstance(node, yaml.SequenceNode):
            return [
                self.read(item, (*path, number))
                for number, item in enumerate(node.value)
            ]
        return self._loader.construct_object(node, deep=True)

    def _read_map(self, node: yaml.MappingNode, path: Path) -> dict:
        values = {}
        for key_node, value_node in node.value:
            key = self._loader.construct_object(key_node, deep=True)
            key_path = (*path, str(key))
            line = key_node.start_mark.line + 1
            if key in values:
                self.problems.append(
                    errors.Problem(
                        self.file, format_path(key_path), line, 'repeated key'
                    )
                )
            self.lines[key_path] = line
            values[key] = self.read(value_node, key_path)
        return values


def check_schema(
    document: Document, schema: dict[str, typing.Any]
) -> list[errors.Problem]:
    """Checks a document against a JSON schema and lists every fault."""
    validator = jsonschema.Draft202012Validator(schema)
    problems = []
    for fault in validator.iter_errors(document.value):
        problems.extend(_problems_of(document, fault))
    problems.sort(key=lambda problem: problem.line)
    return problems


def _problems_of(
    document: Document, fault: jsonschema.ValidationError
) -> list[errors.Problem]:
    path = tuple(fault.absolute_path)
    if fault.validator == 'additionalProperties':
        known = fault.schema.get('properties', {})
        return [
            document.problem((*path, str(key)), 'unknown key')
            for key in fault.instance
            if key not in known
        ]
    if fault.validator == 'required':
        # There is one fault for each missing key, which only its text names.
        key = fault.message.split("'")[1]
        return [document.problem(path, f'missing key {key}')]
    return [document.problem(path, fault.message)]
