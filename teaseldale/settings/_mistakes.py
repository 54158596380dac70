"""Validation of a settings document against the settings classes."""

import enum
from collections.abc import Mapping
from typing import Any

import attrs

_TYPE_NAMES: Mapping[type, str] = {  # noqa: WPS407
    int: 'a whole number',
    str: 'a text',
    bool: 'true or false',
}


def find_errors(
    document: Mapping[str, Any],
    kind: type[attrs.AttrsInstance],
    path: str = '',
) -> list[str]:
    """Returns one message per error, with the field and the allowed values.

    ``path`` is the prefix of field names, such as ``limits.``.
    """
    fields = attrs.fields_dict(kind)
    known_names = ', '.join(fields)
    errors = [
        f'{path}{name}: unknown; known here are {known_names}'
        for name in document
        if name not in fields
    ]
    for name, field in fields.items():
        errors.extend(_find_field_errors(document, field, f'{path}{name}'))
    return errors


def _find_field_errors(
    document: Mapping[str, Any],
    field: 'attrs.Attribute[Any]',
    path: str,
) -> list[str]:
    kind = field.type
    if field.name not in document:
        required = field.default is attrs.NOTHING
        return (
            [f'{path}: missing; {_describe_allowed(kind)}'] if required else []
        )
    value = document[field.name]
    if attrs.has(kind or int):
        if isinstance(value, Mapping):
            return find_errors(value, _attrs_class(kind), f'{path}.')
        return [f'{path}: {value!r} is not a table']
    if not _has_type(value, kind):
        return [f'{path}: {value!r} is wrong; {_describe_allowed(kind)}']
    return _find_range_errors(value, field, path)


def _find_range_errors(
    value: object,
    field: 'attrs.Attribute[Any]',
    path: str,
) -> list[str]:
    if field.validator is None:
        return []
    try:
        field.validator(None, field, value)
    except ValueError as error:
        return [f'{path}: {error.args[0]}']
    return []


def _has_type(value: object, kind: type[Any] | None) -> bool:
    if not isinstance(kind, type):
        return True
    if issubclass(kind, enum.Enum):
        return value in {member.value for member in kind}
    if isinstance(value, bool):
        return kind is bool
    return isinstance(value, kind)


def _describe_allowed(kind: type[Any] | None) -> str:
    if not isinstance(kind, type):
        return f'give {kind}'
    if issubclass(kind, enum.Enum):
        allowed = ', '.join(repr(member.value) for member in kind)
        return f'allowed are {allowed}'
    if attrs.has(kind):
        known_names = ', '.join(attrs.fields_dict(kind))
        return f'give a table with {known_names}'
    return f'give {_TYPE_NAMES.get(kind, kind.__name__)}'


def _attrs_class(kind: type[Any] | None) -> type[attrs.AttrsInstance]:
    if kind is None or not attrs.has(kind):
        raise TypeError(f'{kind} is not an attrs class')
    return kind
