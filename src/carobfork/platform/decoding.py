"""Decode stored objects of the platform into this package's types."""

import sys
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import attrs
import msgspec
import structlog

from carobfork import clock, exceptions
from carobfork.gateway import routes
from carobfork.platform import tenant_lists
from carobfork.storage import snapshots

logger = structlog.get_logger(part='platform')

_STEP = 'decode'
MALFORMED = (AttributeError, KeyError, TypeError, ValueError)
_MAX_LEVELS = 32
"""Most levels of maps and lists in an object: far more than any kind has, and
few enough for decoders that call themselves for each level."""


def decode_table(spec: Mapping[str, Any]) -> routes.RouteTable:
    """Return the route table of a configuration.

    Malformed routes are logged and skipped.

    :param spec: the configuration's content.
    :raises SettingsError: if it has no version.
    """
    version = spec.get('Version')
    if not isinstance(version, int):
        raise exceptions.SettingsError(
            'the configuration has no whole number as its Version', step=_STEP
        )
    services = [_service(entry) for entry in spec.get('Services') or ()]
    known = []
    for entry in spec.get('Routes') or ():
        try:
            known.append(_route(entry))
        except MALFORMED as error:
            logger.warning(
                'route skipped', config_version=version, reason=repr(error)
            )
    return routes.RouteTable(
        version,
        known,
        {service.name: service for service in services},
        _limits(spec.get('Limits') or {}),
        tenant_lists.decode_keys(version, spec.get('Tenants')),
    )


def _route(entry: Mapping[str, Any]) -> routes.Route:
    split = entry.get('Backends') or ()
    backends = [
        routes.Backend(part['Service'], part.get('Weight', 1)) for part in split
    ] or [routes.Backend(entry['Service'], 1)]
    return routes.Route(
        name=entry['Name'],
        host=entry['Host'],
        prefix=entry['PathPrefix'],
        # Without a kind, it is unknown whether calls may run twice.
        kind=routes.Kind(entry.get('Kind') or 'unsafe'),
        backends=tuple(backends),
        timeout_ms=entry.get('TimeoutMs') or routes.DEFAULT_TIMEOUT_MS,
        # Answers within this time earn their full credit.
        target_latency_ms=entry.get('GoalMs') or 0,
        target_gap_ms=entry.get('GapTargetMs') or 0,
        rank=entry.get('Priority') or 0,
        max_attempts=entry.get('Attempts') or 1,
        is_resumable=bool(entry.get('Resumable')),
        is_retained=bool(entry.get('Retain')),
        retain_ms=(entry.get('RetainS') or 0) * clock.MS_PER_SECOND,
        is_public=bool(entry.get('Public')),
    )


def _service(entry: Mapping[str, Any]) -> routes.Service:
    engine = entry.get('Engine') or {}
    return routes.Service(
        name=entry['Name'],
        health_path=entry.get('HealthPath') or '',
        max_connections=entry.get('MaxConns') or 0,
        slots=engine.get('Slots') or 0,
        cache_tokens=engine.get('KvCapacity') or 0,
        # Stride is the number of tokens in one event of a stream.
        event_tokens=engine.get('Stride') or 1,
        is_engine=bool(engine),
    )


def _limits(entry: Mapping[str, Any]) -> routes.CallerLimits:
    usual = routes.CallerLimits()
    return routes.CallerLimits(
        head_bytes=entry.get('MaxHeaderBytes') or usual.head_bytes,
        body_bytes=entry.get('MaxBodyBytes') or usual.body_bytes,
        head_ms=entry.get('HeaderTimeoutMs') or usual.head_ms,
        idle_ms=entry.get('IdleTimeoutMs') or usual.idle_ms,
    )


@attrs.frozen
class StoredObject:
    """An object of the platform's store.

    :param name: unique within its kind.
    :param revision: its revision; conditional writes state it.
    :param spec: its content, whose form depends on the kind.
    :param status: its reported progress, if any.
    """

    name: str
    revision: int
    spec: Any = attrs.field(repr=False)
    status: Any = attrs.field(repr=False)

    @classmethod
    def decode(cls, fields: Mapping[str, Any]) -> 'StoredObject':
        """Decode an object.

        Content that hosts can't send each other is replaced by ``None``.

        :param fields: the object as the store sends it.
        :raises AttributeError: if it is not a map.
        :raises KeyError: if it has no name or revision.
        :raises TypeError: if its metadata is not a map, or its name or
            revision has another type.
        """
        meta = fields['Metadata']
        name, revision = meta['Name'], meta['Rev']
        if not isinstance(name, str) or not is_whole(revision):
            raise TypeError(f'the name {name!r} or revision {revision!r}')
        return cls(
            name,
            revision,
            _storable(name, fields.get('Spec')),
            _storable(name, fields.get('Status')),
        )


def is_whole(found: Any) -> bool:
    """Return whether a value is a whole number that messages can hold."""
    is_number = isinstance(found, int) and not isinstance(found, bool)
    return is_number and 0 <= found <= sys.maxsize


def _storable(name: str, content: Any) -> Any:
    """Return an object's content, or None if messages can't hold it."""
    try:
        if _is_flat(content):
            msgspec.msgpack.encode(content)
            return content
        reason = f'more than {_MAX_LEVELS} levels'
    except (OverflowError, ValueError) as error:
        # The error may hold the text that can't be encoded.
        reason = type(error).__name__
    logger.warning('content not readable', name=name, reason=reason)
    return None


def _is_flat(content: Any) -> bool:
    """Return whether a value has no more levels than ``_MAX_LEVELS``."""
    level = [content]
    for _ in range(_MAX_LEVELS):
        level = [part for outer in level for part in _parts(outer)]
        if not level:
            return True
    return False


def _parts(outer: Any) -> Iterable[Any]:
    if isinstance(outer, dict):
        return outer.values()
    return outer if isinstance(outer, list) else ()


def encode_snapshot(
    found: Sequence[StoredObject], revision: int
) -> snapshots.Snapshot:
    """Return a snapshot of objects that ``decode_snapshot`` reads.

    :param found: all objects of a kind.
    :param revision: the store's revision at which they were read.
    """
    return snapshots.Snapshot(
        revision,
        {
            stored.name: (stored.revision, msgspec.msgpack.encode(stored))
            for stored in found
        },
    )


def decode_snapshot(snapshot: snapshots.Snapshot) -> list[StoredObject]:
    """Return the objects of a snapshot that another host has kept.

    Malformed ones are logged and left out.
    """
    found = []
    for name, (_revision, content) in snapshot.entries.items():
        try:
            found.append(msgspec.msgpack.decode(content, type=StoredObject))
        except (msgspec.MsgspecError, RecursionError) as error:
            logger.warning('malformed object', name=name, reason=str(error))
    return found
