"""Read the settings file that the platform writes for each process."""

import os
import pathlib
import tomllib
from collections.abc import Mapping
from typing import Any

import attrs

from carobfork import clock, exceptions
from carobfork.storage import allowances

SETTINGS_VARIABLE = 'CAROBFORK_SETTINGS'
_STEP = 'read settings'
_MALFORMED = (AttributeError, KeyError, TypeError, ValueError)
DEFAULT_DRAIN_MS = 2000
"""Used if the file has no value; short, so that no call reaches a server after
its end."""

DEFAULT_REVOKE_MS = 5000
"""Used if the file has no value."""

Address = tuple[str, int]


@attrs.frozen
class HostSettings:
    """Settings of a process.

    :param node: name of the host.
    :param ip: IP address of the host.
    :param zone: the host's failure domain.
    :param region: the host's region.
    :param inner_ports: first and last port for traffic between hosts.
    :param platform: address of the platform's store.
    :param front: address for callers' requests, on entry hosts.
    :param ready: address of the readiness endpoint, on entry hosts.
    :param directory: address of the directory endpoint, on entry hosts.
    :param control: address for requests of other hosts, on store hosts.
    :param seeds: control addresses of up to three hosts; they may be stale.
    :param data_folder: folder for records, on store hosts.
    :param losses: number of store hosts that may be lost at the same time.
    :param grace_ms: time from SIGTERM to SIGKILL.
    :param drain_ms: how long a draining backend server still serves.
    :param directory_ttl_ms: longest time for which callers keep an answer of
        the directory.
    :param quota: how far requests may exceed the quotas of tenants.
    :param memory_mb: memory limit of the process; 0 if the file has none.
    :param revoke_ms: time within which a key that is taken away must end.
    :param is_revocation_strict: whether that holds for hosts that are cut off.
    :param max_descriptors: limit of open file descriptors.
    :param cores: processor of the host in cores; 0 if the file has none.
    :param link_mbps: bandwidth of the host's link in Mbit/s; 0 if the file
        has none.
    :param paces_servers: whether servers get few calls after a start.
    """

    node: str
    ip: str
    zone: str
    region: str
    inner_ports: tuple[int, int]
    platform: str
    front: Address | None = None
    ready: Address | None = None
    directory: Address | None = None
    control: Address | None = None
    seeds: tuple[Address, ...] = ()
    data_folder: str = ''
    losses: int = 1
    grace_ms: float = 8000
    drain_ms: float = DEFAULT_DRAIN_MS
    directory_ttl_ms: float = 5000
    quota: allowances.Allowance = allowances.Allowance()
    memory_mb: int = 0
    revoke_ms: float = DEFAULT_REVOKE_MS
    is_revocation_strict: bool = False
    max_descriptors: int = 1024
    cores: float = 0
    link_mbps: float = 0
    paces_servers: bool = False

    @property
    def strict_revoke_ms(self) -> float | None:
        """Time after which a key ends also at hosts that are cut off."""
        return self.revoke_ms if self.is_revocation_strict else None


def load(path: str = '') -> HostSettings:
    """Read and parse the settings file.

    :param path: the file; by default the one that ``CAROBFORK_SETTINGS``
        names.
    :raises SettingsError: if it can't be read, is malformed or lacks a field.
    """
    return parse(read(path))


def read(path: str = '') -> str:
    """Return the settings file's text.

    :param path: the file; by default the one that ``CAROBFORK_SETTINGS``
        names.
    :raises SettingsError: if it can't be read.
    """
    name = path or os.environ.get(SETTINGS_VARIABLE, '')
    try:
        return pathlib.Path(name).read_text(encoding='utf-8')
    except (OSError, ValueError) as error:
        raise exceptions.SettingsError(
            f'{name or SETTINGS_VARIABLE}: {error}', step=_STEP
        ) from error


def parse(text: str) -> HostSettings:
    """Return the settings in a file's text.

    :raises SettingsError: if the text is malformed or lacks a field.
    """
    try:
        return _decode(tomllib.loads(text))
    except _MALFORMED as error:
        raise exceptions.SettingsError(
            f'malformed file or missing field: {error!r}', step=_STEP
        ) from error


def _decode(fields: Mapping[str, Any]) -> HostSettings:
    listen = fields.get('Listen') or {}
    bounds = fields.get('Bounds') or {}
    limits = fields.get('Limits') or {}
    first, last = fields['PortRange']
    return HostSettings(
        node=fields['NodeName'],
        ip=fields['Ip'],
        zone=fields['Zone'],
        region=fields['Region'],
        inner_ports=(first, last),
        platform=fields['Provider']['Address'],
        front=_address(listen.get('Front')),
        ready=_address(listen.get('Ready')),
        directory=_address(listen.get('Directory')),
        control=_address(listen.get('Control')),
        seeds=tuple(_address(seed) for seed in fields.get('Seeds') or ()),
        data_folder=fields.get('DataDir') or '',
        losses=(fields.get('Tolerate') or {}).get('Machines', 1),
        grace_ms=bounds.get('GraceS', 8) * clock.MS_PER_SECOND,
        drain_ms=bounds.get('DrainMs', DEFAULT_DRAIN_MS),
        directory_ttl_ms=bounds.get('ttl_max_s', 5) * clock.MS_PER_SECOND,
        quota=_allowance(bounds),
        memory_mb=limits.get('MemoryMb', 0),
        revoke_ms=bounds.get('RevokeMs', DEFAULT_REVOKE_MS),
        is_revocation_strict=bool(bounds.get('StrictRevoke')),
        max_descriptors=limits.get('MaxFds', 1024),
        cores=limits.get('CpuShare', 0) * limits.get('Cpus', 1),
        link_mbps=limits.get('LinkMbps', 0),
        paces_servers=fields.get('PacesServers') is True,
    )


def _allowance(bounds: Mapping[str, Any]) -> allowances.Allowance:
    usual = allowances.Allowance()
    window_s = bounds.get('QuotaWindowS', clock.to_seconds(usual.window_ms))
    return allowances.Allowance(
        window_s * clock.MS_PER_SECOND,
        bounds.get('QuotaOvershoot', usual.overshoot_ratio),
        bounds.get('QuotaSlack', usual.slack),
    )


def _address(text: str | None) -> Address | None:
    if not text:
        return None
    ip, _colon, port = text.rpartition(':')
    return ip, int(port)
