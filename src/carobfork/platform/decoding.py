"""Decode stored objects of the platform into this package's types."""

from collections.abc import Mapping, Sequence
from typing import Any

import attrs
import msgspec
import structlog

from carobfork import clock, exceptions
from carobfork.gateway import routes, workers
from carobfork.platform import names
from carobfork.storage import snapshots

logger = structlog.get_logger(part='platform')

_STEP = 'decode'
_MALFORMED = (AttributeError, KeyError, TypeError, ValueError)
_STATES = frozenset((names.STATE_READY, names.STATE_DRAINING))


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
        except (KeyError, TypeError, ValueError) as error:
            logger.warning(
                'route skipped', config_version=version, reason=repr(error)
            )
    return routes.RouteTable(
        version,
        known,
        {service.name: service for service in services},
        _limits(spec.get('Limits') or {}),
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
    spec: Any
    status: Any

    @classmethod
    def decode(cls, fields: Mapping[str, Any]) -> 'StoredObject':
        """Decode an object.

        :param fields: the object as the store sends it.
        :raises KeyError: if it has no name or revision.
        :raises TypeError: if it or its metadata is not a map.
        """
        meta = fields['Metadata']
        return cls(
            meta['Name'],
            meta['Rev'],
            fields.get('Spec'),
            fields.get('Status'),
        )


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

    :raises BadRequestError: if an object is malformed.
    """
    try:
        return [
            msgspec.msgpack.decode(content, type=StoredObject)
            for _revision, content in snapshot.entries.values()
        ]
    except msgspec.MsgspecError as error:
        raise exceptions.BadRequestError(
            f'an object of a snapshot is malformed: {error}', step=_STEP
        ) from error


def decode_worker(stored: StoredObject) -> workers.Entry | None:
    """Return a backend server's entry, or None if it is malformed."""
    spec = stored.spec
    try:
        ip, _colon, port = spec['Address'].rpartition(':')
        entry = workers.Entry(
            instance=stored.name,
            service=spec['Service'],
            ip=ip,
            port=int(port),
            failure_domain=spec['Zone'],
            slots=spec['Slots'],
            is_draining=spec['State'] == names.STATE_DRAINING,
            # Unix time at which the process started; the instance may be
            # older.
            started_ms=spec.get('born') or 0,
            version=_version(spec.get('Version')),
        )
    except _MALFORMED as error:
        logger.warning('malformed entry', name=stored.name, reason=repr(error))
        return None
    if spec['State'] not in _STATES or not _is_valid(entry):
        logger.warning('invalid entry', name=stored.name)
        return None
    return entry


def _version(version: Any) -> str:
    """Return a software version, or an empty string if it is unusable."""
    return version if isinstance(version, str) else ''


def _is_valid(entry: workers.Entry) -> bool:
    texts = (entry.service, entry.failure_domain, entry.ip)
    if not all(isinstance(text, str) and text for text in texts):
        return False
    return type(entry.slots) is int and entry.slots > 0  # noqa: WPS516
