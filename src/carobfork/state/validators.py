"""Validate the fields of settings and bundles.

Each validator raises ``ValueError`` with the field's name, its value and the
values that are allowed.
"""

import ipaddress
import re
import reprlib
from collections.abc import Callable, Collection

import attrs

MAX_PORT = 65_535
NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9 _-]{0,62}')

Validator = Callable[[object, attrs.Attribute, object], None]


def between(lowest: float, highest: float) -> Validator:
    """Return a validator that accepts numbers in a closed interval."""

    def validate(_owner, field, number) -> None:  # noqa: WPS430
        if not lowest <= number <= highest:
            _reject(field, number, f'a number from {lowest} to {highest}')

    return validate


def at_least(lowest: float) -> Validator:
    """Return a validator that accepts numbers with a lower bound."""

    def validate(_owner, field, number) -> None:  # noqa: WPS430
        if not number >= lowest:
            _reject(field, number, f'a number of at least {lowest}')

    return validate


def one_of(choices: Collection[str]) -> Validator:
    """Return a validator that accepts only the given strings."""

    def validate(_owner, field, text) -> None:  # noqa: WPS430
        if text not in choices:
            allowed = ', '.join(f'"{choice}"' for choice in sorted(choices))
            _reject(field, text, f'one of {allowed}')

    return validate


def port(_owner, field: attrs.Attribute, number) -> None:
    """Accept TCP ports."""
    if not 1 <= number <= MAX_PORT:
        _reject(field, number, f'a port from 1 to {MAX_PORT}')


def ip_address(_owner, field: attrs.Attribute, text) -> None:
    """Accept IP addresses, but no host names."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        _reject(field, text, 'an IP address such as 10.0.0.7')


def name(_owner, field: attrs.Attribute, text) -> None:
    """Accept names that are safe in identifiers, paths and logs."""
    if not NAME.fullmatch(text):
        _reject(field, text, 'letters, digits, "_", "-" and spaces, at most 63')


def not_empty(_owner, field: attrs.Attribute, members) -> None:
    """Accept strings and collections that are not empty."""
    if not members:
        _reject(field, members, 'not empty')


def _reject(field: attrs.Attribute, found: object, allowed: str) -> None:
    raise ValueError(
        f'{field.name} is {reprlib.repr(found)}, allowed: {allowed}'
    )
