"""Strict validation of JSON data against ``attrs`` classes."""

import typing as t

import attrs
import cattrs
from cattrs.gen import make_dict_structure_fn
from cattrs.v import format_exception

_T = t.TypeVar("_T")
_NAME_SEPARATOR = "\x1f"


@attrs.frozen
class InvalidField:
    """One validation error.

    :param field: dotted path of the field, empty for the root.
    :param message: the invalid value and what is allowed.
    """

    field: str
    message: str

    def __str__(self) -> str:
        return f"{self.field or '(root)'}: {self.message}"


class CheckError(Exception):
    """Data is not valid for its class.

    :param invalid_fields: all validation errors.
    """

    def __init__(self, invalid_fields: list[InvalidField]) -> None:
        super().__init__("; ".join(str(item) for item in invalid_fields))
        self.invalid_fields = invalid_fields


def structure(data: t.Any, cls: type[_T]) -> _T:
    """Return an instance of a class from JSON data.

    Unknown keys, missing keys, wrong types and values that a validator rejects are
    errors. No types are converted, except integers where a float is expected.

    :param data: parsed JSON.
    :param cls: an ``attrs`` class.
    :raises CheckError: the data is not valid.
    """
    try:
        return _converter.structure(data, cls)
    except Exception as error:
        lines = cattrs.transform_error(error, format_exception=_format_error)
        raise CheckError([_parse_invalid_field(line) for line in lines]) from error


def unstructure(value: t.Any) -> t.Any:
    """Return JSON data of an ``attrs`` instance."""
    return _converter.unstructure(value)


def in_range(low: float, high: float) -> t.Callable:
    """Return a validator for numbers from low to high, inclusive."""

    def validate(instance: t.Any, attribute: attrs.Attribute, value: float) -> None:
        if not low <= value <= high:
            raise FieldError(attribute, f"{value} is not in {low}..{high}")

    return validate


def one_of(*allowed: str) -> t.Callable:
    """Return a validator for a fixed set of strings."""

    def validate(instance: t.Any, attribute: attrs.Attribute, value: str) -> None:
        if value not in allowed:
            raise FieldError(attribute, f"{value!r} is not one of {', '.join(allowed)}")

    return validate


def starting_with(*prefixes: str) -> t.Callable:
    """Return a validator for strings that start with one of the prefixes."""

    def validate(instance: t.Any, attribute: attrs.Attribute, value: str) -> None:
        if not value.startswith(prefixes):
            raise FieldError(
                attribute, f"{value!r} does not start with {' or '.join(prefixes)}"
            )

    return validate


class FieldError(ValueError):
    """A validator rejected a value.

    :param attribute: the invalid attribute; cattrs reports errors of validators
        only with the path of the object.
    """

    def __init__(self, attribute: attrs.Attribute, message: str) -> None:
        super().__init__(message)
        self.name = attribute.name


def _format_error(error: BaseException, cls: type | None) -> str:
    """Return an error's message, after the attribute's name where it is known."""
    if isinstance(error, FieldError):
        return f"{error.name}{_NAME_SEPARATOR}{error}"
    if isinstance(error, ValueError) and str(error):
        return str(error)
    return format_exception(error, cls)


def _parse_invalid_field(line: str) -> InvalidField:
    """Return the error in a line of cattrs, such as ``message @ $.path``."""
    text, _, path = line.rpartition(" @ $")
    name, separator, message = text.rpartition(_NAME_SEPARATOR)
    parts = [path.lstrip("."), name] if separator else [path.lstrip(".")]
    return InvalidField(".".join(part for part in parts if part), message)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(str, _strict_type_hook(str))
    converter.register_structure_hook(bool, _strict_type_hook(bool))
    converter.register_structure_hook(int, _strict_type_hook(int))
    converter.register_structure_hook(float, _structure_number)
    converter.register_structure_hook_factory(
        attrs.has,
        lambda cls: _object_hook(
            cls,
            make_dict_structure_fn(cls, converter, _cattrs_forbid_extra_keys=True),
        ),
    )
    return converter


def _object_hook(cls: type, build: t.Callable) -> t.Callable:
    def hook(value: t.Any, target: type) -> t.Any:
        if not isinstance(value, dict):
            raise ValueError(f"{type(value).__name__} given, an object is allowed")
        return build(value, target)

    return hook


def _strict_type_hook(cls: type) -> t.Callable:
    def hook(value: t.Any, target: type) -> t.Any:
        if type(value) is not cls:
            raise ValueError(f"{type(value).__name__} given, {cls.__name__} is allowed")
        return value

    return hook


def _structure_number(value: t.Any, target: type) -> float:
    if type(value) not in (int, float):
        raise ValueError(f"{type(value).__name__} given, a number is allowed")
    return float(value)


_converter = _make_converter()
