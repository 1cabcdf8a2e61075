"""Decode the entries of backend servers in the platform's store.

An entry may come from another writer; a malformed one names no server.
"""

import ipaddress
from typing import Any

import structlog

from carobfork.gateway import workers
from carobfork.platform import decoding, names

_MAX_PORT = 65_535
_STATES = frozenset((names.STATE_READY, names.STATE_DRAINING))

logger = structlog.get_logger(part='platform')


def decode_worker(stored: decoding.StoredObject) -> workers.Entry | None:
    """Return a backend server's entry, or None if it is malformed."""
    spec = stored.spec
    try:
        ip, port = _address(spec['Address'])
        entry = workers.Entry(
            instance=stored.name,
            service=_text(spec['Service']),
            ip=ip,
            port=port,
            failure_domain=_text(spec['Zone']),
            slots=_count(spec['Slots']),
            is_draining=_state(spec['State']) == names.STATE_DRAINING,
            # Unix time at which the process started; the instance may be
            # older.
            started_ms=_count(spec.get('born', 0)),
            version=_version(spec.get('Version')),
        )
    except decoding.MALFORMED as error:
        logger.warning('malformed entry', name=stored.name, reason=repr(error))
        return None
    if not entry.slots:
        logger.warning('entry without slots', name=stored.name)
        return None
    return entry


def _address(found: Any) -> tuple[str, int]:
    """Return IP address and port.

    :raises ValueError: if one of them is malformed.
    """
    ip, _colon, port = _text(found).rpartition(':')
    is_number = port.isascii() and port.isdigit()
    if not is_number or not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f'the port {port!r} is not from 1 to {_MAX_PORT}')
    return str(ipaddress.ip_address(ip)), int(port)


def _text(found: Any) -> str:
    if not isinstance(found, str) or not found:
        raise TypeError(f'{found!r} is no text')
    return found


def _count(found: Any) -> int:
    if not decoding.is_whole(found):
        raise TypeError(f'{found!r} is no whole number')
    return found


def _state(found: Any) -> str:
    if not isinstance(found, str) or found not in _STATES:
        raise ValueError(f'{found!r} is no state')
    return found


def _version(version: Any) -> str:
    """Return a software version, or an empty string if it is unusable."""
    return version if isinstance(version, str) else ''
