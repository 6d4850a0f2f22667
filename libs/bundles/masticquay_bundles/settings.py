"""Settings files of the daemons: checks and defaults."""

import pathlib
import typing

from returns import result

from masticquay_bundles import documents
from masticquay_bundles import errors

CheckedSettings = result.Result[dict[str, typing.Any], list[errors.Problem]]


class SettingDefinition:
    """One key of a settings file.

    :param schema: JSON schema of the value
    :param default: value when the key is absent; ``REQUIRED`` when the key
        must be present
    """

    __slots__ = ('name', 'schema', 'default', 'description')

    def __init__(
        self,
        name: str,
        schema: dict[str, typing.Any],
        default: typing.Any,
        description: str,
    ):
        self.name = name
        self.schema = schema
        self.default = default
        self.description = description


# The ``default`` of a setting that must be present in the file.
REQUIRED = object()


def check_file(
    path: pathlib.Path, definitions: list[SettingDefinition]
) -> CheckedSettings:
    """Reads and checks a settings file and fills in the defaults.

    :returns: the value of every setting, or every problem found
    """
    try:
        document = documents.load_document(path)
    except errors.DocumentError as cause:
        return result.Failure(cause.problems)
    problems = documents.check_schema(document, _make_schema(definitions))
    if problems:
        return result.Failure(problems)
    defaults = {
        s.name: s.default for s in definitions if s.default is not REQUIRED
    }
    return result.Success({**defaults, **document.value})


def _make_schema(
    definitions: list[SettingDefinition],
) -> dict[str, typing.Any]:
    return {
        'type': 'object',
        'additionalProperties': False,
        'required': [s.name for s in definitions if s.default is REQUIRED],
        'properties': {s.name: s.schema for s in definitions},
    }
