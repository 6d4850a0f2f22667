"""Records, which convert to and from maps of types that CBOR can encode."""

import inspect
import types
import typing

from masticquay_wire import errors


class Record:
    """Base class of values with named fields.

    A subclass lists its fields in ``__slots__``. Its ``__init__`` takes each
    field as a parameter of the same name, annotated with the field's type.
    """

    __slots__ = ()

    def to_wire(self) -> dict[str, typing.Any]:
        """Returns the fields as a map of CBOR types."""
        return {
            name: _to_plain(getattr(self, name)) for name in self.__slots__
        }

    @classmethod
    def from_wire(cls, fields: dict[str, typing.Any]) -> typing.Self:
        """Builds the record from a map of CBOR types.

        Unknown fields are ignored and missing ones take their default, so
        that processes of adjacent versions can exchange records.

        :param fields: a map as returned by ``to_wire``
        :raises MessageError: when a required field is missing, or a field
            has the wrong type
        """
        if not isinstance(fields, dict):
            raise errors.MessageError(f'{cls.__name__}: fields are not a map')
        values = {}
        for name, convert in _converters(cls).items():
            if name in fields:
                values[name] = convert(fields[name])
            elif _is_required(cls, name):
                raise errors.MessageError(
                    f'{cls.__name__}: missing field {name}'
                )
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


_CONVERTERS: dict[type, dict[str, typing.Callable]] = {}
_REQUIRED_FIELDS: dict[type, set[str]] = {}


def _converters(cls: type) -> dict[str, typing.Callable]:
    converters = _CONVERTERS.get(cls)
    if converters is None:
        hints = typing.get_type_hints(cls.__init__)
        converters = {
            name: _make_converter(f'{cls.__name__}.{name}', hints[name])
            for name in cls.__slots__
        }
        _CONVERTERS[cls] = converters
    return converters


def _is_required(cls: type, name: str) -> bool:
    if cls not in _REQUIRED_FIELDS:
        parameters = inspect.signature(cls.__init__).parameters
        _REQUIRED_FIELDS[cls] = {
            field
            for field in cls.__slots__
            if parameters[field].default is inspect.Parameter.empty
        }
    return name in _REQUIRED_FIELDS[cls]


def _make_converter(label: str, hint: typing.Any) -> typing.Callable:
    """Returns a function that checks and converts the value of a field.

    :param label: names the field in error messages
    """
    origin = typing.get_origin(hint)
    if hint is typing.Any:
        return lambda value: value
    if origin in (typing.Union, types.UnionType):
        return _make_optional_converter(label, hint)
    if origin in (list, tuple):
        return _make_list_converter(label, hint, origin)
    if origin is dict:
        return _make_dict_converter(label, hint)
    if isinstance(hint, type) and issubclass(hint, Record):
        return hint.from_wire
    return _make_plain_converter(label, hint)


def _make_optional_converter(label: str, hint: typing.Any) -> typing.Callable:
    inner_hints = [a for a in typing.get_args(hint) if a is not type(None)]
    convert = _make_converter(label, inner_hints[0])
    return lambda value: None if value is None else convert(value)


def _make_list_converter(
    label: str, hint: typing.Any, sequence_type: type
) -> typing.Callable:
    convert_item = _make_converter(label, typing.get_args(hint)[0])

    def convert(value: typing.Any) -> typing.Any:
        if not isinstance(value, (list, tuple)):
            raise errors.MessageError(f'{label}: not a list')
        return sequence_type(convert_item(item) for item in value)

    return convert


def _make_dict_converter(label: str, hint: typing.Any) -> typing.Callable:
    convert_item = _make_converter(label, typing.get_args(hint)[1])

    def convert(value: typing.Any) -> typing.Any:
        if not isinstance(value, dict):
            raise errors.MessageError(f'{label}: not a map')
        return {key: convert_item(item) for key, item in value.items()}

    return convert


def _make_plain_converter(label: str, hint: type) -> typing.Callable:
    def convert(value: typing.Any) -> typing.Any:
        if hint is float and type(value) is int:
            return float(value)
        if type(value) is not hint:
            raise errors.MessageError(f'{label}: not of type {hint.__name__}')
        return value

    return convert
