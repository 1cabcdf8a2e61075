"""Decode the tenants of a configuration and their keys.

No line that is logged here shows a part of a key.
"""

import math
from collections.abc import Mapping, Sequence
from typing import Any

import structlog

from carobfork.tenancy import tenants

MAX_NAME_BYTES = 256
"""Longest name of a tenant, since each request carries it."""
MAX_RANK = 1000
"""Lowest priority class; larger numbers count as this one."""
_CONTROL_CHARACTERS = frozenset((*map(chr, range(ord(' '))), '\x7f'))
_SPACES = ' \t'

logger = structlog.get_logger(part='platform')

_MALFORMED = (ArithmeticError, LookupError, TypeError, ValueError)


def decode_keys(version: int, listed: Any) -> tenants.KeyTable | None:
    """Return the tenants by their keys, or None if callers need no key.

    Malformed tenants are logged, without their content, and left out. If none
    is left, no key is known.

    :param version: the configuration's version.
    :param listed: its tenants, if it has any.
    """
    is_list = isinstance(listed, list)
    if listed is None or (is_list and not listed):
        return None
    known: dict[str, tenants.TenantKeys] = {}
    for entry in listed if is_list else (listed,):
        try:
            decoded = _decode_tenant(entry)
        except _MALFORMED as error:
            logger.warning(
                'tenant skipped',
                config_version=version,
                error=type(error).__name__,
            )
            continue
        _add(version, known, decoded)
    table = tenants.KeyTable(known.values())
    if table.shared_keys:
        logger.warning(
            'keys of several tenants',
            config_version=version,
            count=table.shared_keys,
        )
    return table


def _add(
    version: int,
    known: dict[str, tenants.TenantKeys],
    decoded: tenants.TenantKeys,
) -> None:
    """Add a tenant; one that is listed again only adds its keys."""
    name = decoded.tenant.name
    first = known.setdefault(name, decoded)
    if first is not decoded:
        logger.warning('tenant repeated', config_version=version, tenant=name)
        known[name] = tenants.TenantKeys(
            first.tenant, first.keys + decoded.keys
        )


def _decode_tenant(entry: Any) -> tenants.TenantKeys:
    """Return a tenant with those of its keys that callers can send.

    :raises TypeError: if a field has another type.
    :raises ValueError: if a field has a value that can't be used.
    """
    if not isinstance(entry, dict):
        raise TypeError('the tenant is no map')
    tenant = tenants.Tenant(
        _name(entry['Name']),
        int(min(_number(entry, 'Priority'), MAX_RANK)),
        float(_number(entry, 'RatePerS')),
        float(_number(entry, 'Burst')),
    )
    return tenants.TenantKeys(tenant, _keys(tenant, entry.get('ApiKeys')))


def _name(found: Any) -> str:
    """Return a tenant's name, which backend servers get in a header.

    :raises TypeError: if it is no text.
    :raises ValueError: if no header can carry it unchanged.
    """
    if not isinstance(found, str):
        raise TypeError('the name is no text')
    encoded = found.encode('latin-1')
    is_plain = _CONTROL_CHARACTERS.isdisjoint(found)
    if not is_plain or found != found.strip(_SPACES):
        raise ValueError('the name has spaces around it or control characters')
    if not 0 < len(encoded) <= MAX_NAME_BYTES:
        raise ValueError('the name is empty or too long')
    return found


def _number(entry: Mapping[str, Any], field: str) -> float:
    """Return a number of a tenant, 0 if it has none.

    :raises TypeError: if it is no number.
    :raises ValueError: if it is negative or not finite.
    """
    found = entry.get(field)
    if found is None:
        return 0
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise TypeError(f'{field} is no number')
    if not math.isfinite(found) or found < 0:
        raise ValueError(f'{field} is negative or not finite')
    return found


def _keys(tenant: tenants.Tenant, listed: Any) -> tuple[str, ...]:
    """Return a tenant's keys as they arrive in headers.

    Those that no header can carry are left out.

    :raises TypeError: if they are no list.
    """
    if listed is None:
        return ()
    if not isinstance(listed, list):
        raise TypeError('the keys are no list')
    sent = [_sent_forms(key) for key in listed]
    unusable = sum(not forms for forms in sent)
    if unusable:
        logger.warning('keys skipped', tenant=tenant.name, count=unusable)
    return tuple(form for forms in sent for form in forms)


def _sent_forms(key: Any) -> Sequence[str]:
    """Return a key as the headers of callers hold it.

    Headers are read as Latin-1. Callers may also send UTF-8.
    """
    if not isinstance(key, str):
        return ()
    text = key.strip(_SPACES)
    if not _CONTROL_CHARACTERS.isdisjoint(text.replace('\t', ' ')):
        return ()
    if text.isascii():
        forms = {text}
    else:
        forms = {
            text.encode(encoding, errors='ignore').decode('latin-1')
            for encoding in ('utf-8', 'latin-1')
            if _is_encodable(text, encoding)
        }
    return [form for form in forms if 0 < len(form) <= tenants.MAX_KEY_BYTES]


def _is_encodable(text: str, encoding: str) -> bool:
    return text.encode(encoding, errors='ignore').decode(encoding) == text
