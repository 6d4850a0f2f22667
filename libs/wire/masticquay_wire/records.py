"""Plain slotted records that turn into CBOR-ready maps and back."""

import inspect
import types
import typing

from masticquay_wire import errors


class Record:
    """A value with named fields, listed in ``__slots__``.

    A subclass lists its fields in ``__slots__`` and takes each of them as a
    parameter of the same name, annotated with its type.
    """

    __slots__ = ()

    def to_wire(self) -> dict[str, typing.Any]:
        """Returns the fields as a map of plain values."""
        return {
            name: _to_plain(getattr(self, name)) for name in self.__slots__
        }

    @classmethod
    def from_wire(cls, fields: dict[str, typing.Any]) -> typing.Self:
        """Builds the record from a map of plain values.

        Unknown fields are ignored and absent ones take their default, so
        that processes of adjacent versions understand each other.

        :param fields: the map that ``to_wire`` made
        :raises MessageError: when a field is absent or of the wrong type
        """
        if not isinstance(fields, dict):
            raise errors.MessageError(f'{cls.__name__}: fields are no map')
        values = {}
        for name, reader in _readers(cls).items():
            if name in fields:
                values[name] = reader(fields[name])
            elif _required(cls, name):
                raise errors.MessageError(f'{cls.__name__}: no field {name}')
        return cls(**values)

    def __eq__(self, other: object) -> bool:
        if type(self) is not type(other):
            return NotImplemented
        return all(
            getattr(self, name) == getattr(other, name)
            for name in self.__slots__
        )

    def __hash__(self) -> int:
        return hash(
            tuple(_hashable(getattr(self, name)) for name in self.__slots__)
        )

    def __repr__(self) -> str:
        fields = ', '.join(
            f'{name}={getattr(self, name)!r}' for name in self.__slots__
        )
        return f'{type(self).__name__}({fields})'


def _hashable(value: typing.Any) -> typing.Any:
    if isinstance(value, list):
        return tuple(_hashable(item) for item in value)
    if isinstance(value, dict):
        return tuple(sorted((key, _hashable(v)) for key, v in value.items()))
    return value


def _to_plain(value: typing.Any) -> typing.Any:
    if isinstance(value, Record):
        return value.to_wire()
    if isinstance(value, (list, tuple)):
        return [_to_plain(item) for item in value]
    if isinstance(value, dict):
        return {key: _to_plain(item) for key, item in value.items()}
    return value


_READERS: dict[type, dict[str, typing.Callable]] = {}
_REQUIRED: dict[type, set[str]] = {}


def _readers(cls: type) -> dict[str, typing.Callable]:
    found = _READERS.get(cls)
    if found is None:
        hints = typing.get_type_hints(cls.__init__)
        found = {
            name: _make_reader(f'{cls.__name__}.{name}', hints[name])
            for name in cls.__slots__
        }
        _READERS[cls] = found
    return found


def _required(cls: type, name: str) -> bool:
    if cls not in _REQUIRED:
        parameters = inspect.signature(cls.__init__).parameters
        _REQUIRED[cls] = {
            field
            for field in cls.__slots__
            if parameters[field].default is inspect.Parameter.empty
        }
    return name in _REQUIRED[cls]


def _make_reader(label: str, hint: typing.Any) -> typing.Callable:
    """Returns a function that checks and converts one plain value."""
    origin = typing.get_origin(hint)
    if hint is typing.Any:
        return lambda value: value
    if origin in (typing.Union, types.UnionType):
        return _make_optional_reader(label, hint)
    if origin in (list, tuple):
        return _make_list_reader(label, hint, origin)
    if origin is dict:
        return _make_dict_reader(label, hint)
    if isinstance(hint, type) and issubclass(hint, Record):
        return hint.from_wire
    return _make_plain_reader(label, hint)


def _make_optional_reader(label: str, hint: typing.Any) -> typing.Callable:
    inner = [a for a in typing.get_args(hint) if a is not type(None)]
    reader = _make_reader(label, inner[0])
    return lambda value: None if value is None else reader(value)


def _make_list_reader(
    label: str, hint: typing.Any, kind: type
) -> typing.Callable:
    reader = _make_reader(label, typing.get_args(hint)[0])

    def read(value: typing.Any) -> typing.Any:
        if not isinstance(value, (list, tuple)):
            raise errors.MessageError(f'{label}: no list')
        return kind(reader(item) for item in value)

    return read


def _make_dict_reader(label: str, hint: typing.Any) -> typing.Callable:
    reader = _make_reader(label, typing.get_args(hint)[1])

    def read(value: typing.Any) -> typing.Any:
        if not isinstance(value, dict):
            raise errors.MessageError(f'{label}: no map')
        return {key: reader(item) for key, item in value.items()}

    return read


def _make_plain_reader(label: str, hint: type) -> typing.Callable:
    def read(value: typing.Any) -> typing.Any:
        if hint is float and type(value) is int:
            return float(value)
        if type(value) is not hint:
            raise errors.MessageError(f'{label}: no {hint.__name__}')
        return value

    return read
