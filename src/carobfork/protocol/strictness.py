"""Strictness: build attrs classes from JSON without guessing.

A field takes values of its own type only, unknown fields are refused with
the nearest known name, and each field's validators run before the class is
built, so that all problems of a document come out together.
"""

import difflib
import reprlib
import typing
from collections.abc import Callable

import attrs
import cattrs
from cattrs import gen

_NOUNS = {  # noqa: WPS407
    bool: 'true or false',
    int: 'a whole number',
    float: 'a number',
    str: 'a text',
}


class FieldError(ValueError):
    """A value has the wrong type or is out of range."""


def make_converter() -> cattrs.Converter:
    """Return a converter that refuses what the classes do not list."""
    converter = cattrs.Converter(
        forbid_extra_keys=True, detailed_validation=True
    )
    for kind in (bool, int, float, str):
        converter.register_structure_hook(kind, _structure_plain)
    converter.register_structure_hook_factory(
        attrs.has, lambda kind: _class_hook(kind, converter)
    )
    return converter


def describe_problem(error: BaseException, kind: type | None) -> str:
    """Return one problem in words, without its path."""
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        return '; '.join(_describe_unknown(error))
    if isinstance(error, KeyError):
        return f'field {error} is missing'
    return str(error)


def _describe_unknown(error: cattrs.ForbiddenExtraKeysError) -> list[str]:
    known = [field.name for field in attrs.fields(error.cl)]
    return [
        f'unknown field "{name}"{_hint(name, known)}'
        for name in sorted(error.extra_fields)
    ]


def _hint(name: str, known: list[str]) -> str:
    nearest = difflib.get_close_matches(name, known, n=1)
    if nearest:
        return f', did you mean "{nearest[0]}"?'
    return f', known: {", ".join(known)}'


def _structure_plain(found: object, kind: type) -> object:
    # True is an int to isinstance, and whole numbers serve as numbers.
    is_flag = isinstance(found, bool)
    accepted = (int, float) if kind is float else kind
    if not isinstance(found, accepted) or is_flag is not (kind is bool):
        raise FieldError(f'is {reprlib.repr(found)}, allowed: {_NOUNS[kind]}')
    return kind(found)


def _class_hook(kind: type, converter: cattrs.Converter) -> Callable:
    overrides = {
        field.name: gen.override(struct_hook=_field_hook(field, converter))
        for field in attrs.fields(kind)
    }
    build = gen.make_dict_structure_fn(kind, converter, **overrides)

    def structure(found: object, _kind: type) -> object:  # noqa: WPS430
        if not isinstance(found, dict):
            raise FieldError(
                f'is {reprlib.repr(found)}, allowed: an object in braces'
            )
        return build(found, _kind)

    return structure


def _field_hook(
    field: attrs.Attribute, converter: cattrs.Converter
) -> Callable:
    is_list = typing.get_origin(field.type) in {tuple, list}

    def structure(found: object, kind: type) -> object:  # noqa: WPS430
        if is_list and not isinstance(found, list):
            raise FieldError(
                f'is {reprlib.repr(found)}, allowed: a list in brackets'
            )
        built = converter.structure(found, kind)
        if field.validator is not None:
            field.validator(None, field, built)
        return built

    return structure
