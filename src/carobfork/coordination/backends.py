"""Track the health of backend servers and decide which may get new calls.

The platform's list of leaving servers lags behind, so a server's own answers
count as well. A server with requests in progress that makes no progress is
stalled, however many connections it accepts. Progress is an answer or a part
of one.
"""

import enum
import json
from collections.abc import Iterator, Sequence

import attrs
import cattrs
import structlog

from carobfork import clock, exceptions
from carobfork.state import bundles

MIN_RETRY_DELAY_MS = 1000
MAX_RETRY_DELAY_MS = 30_000
LEAVING_TTL_MS = 60_000
STALL_TIMEOUT_MS = 8000
_MAX_DOUBLINGS = 5
_converter = cattrs.Converter()

logger = structlog.get_logger(part='backends')


class ServerState(enum.StrEnum):
    """State of a backend server in the platform's list."""

    live = 'live'
    leaving = 'leaving'


@attrs.frozen
class BackendList:
    """The platform's list of backend servers.

    It lags behind the actual state of the servers.
    """

    servers: dict[str, ServerState]

    @classmethod
    def parse(cls, body: bytes) -> 'BackendList':
        """Parse the JSON object that holds the list.

        :raises SettingsError: if it is malformed.
        """
        try:
            return _converter.structure(json.loads(body), cls)
        except (ValueError, cattrs.BaseValidationError) as error:
            raise exceptions.SettingsError(
                f'the list of backend servers is malformed: {error}',
                step='parse',
            ) from error


@attrs.define
class _ServerHealth:
    """Health of one backend server."""

    listed_leaving: bool = False
    leaving_until_ms: float = 0
    failures: int = 0
    retry_at_ms: float = 0
    in_progress: int = 0
    last_progress_ms: float = 0
    """Time of the last progress, or of the first request after idleness."""


class BackendHealth:
    """Holds the failures, stalls and leaving states of backend servers.

    :param timer: monotonic clock.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Initialize with every server usable."""
        self._timer = timer
        self._servers: dict[str, _ServerHealth] = {}

    def apply_bundle(self, bundle: bundles.Bundle) -> None:
        """Remove the servers that a bundle does not list."""
        listed = set(_server_names(bundle))
        for name in self._servers.keys() - listed:
            self._servers.pop(name)

    def apply_list(self, listed: BackendList) -> None:
        """Update which servers the platform lists as leaving."""
        leaving = {
            name
            for name, state in listed.servers.items()
            if state is ServerState.leaving
        }
        for name in leaving:
            self._health_of(name)
        for known, health in self._servers.items():
            health.listed_leaving = known in leaving

    def begin_request(self, name: str) -> None:
        """Count a request that starts at a server."""
        health = self._health_of(name)
        if not health.in_progress:
            health.last_progress_ms = self._timer.now_ms()
        health.in_progress += 1

    def end_request(self, name: str) -> None:
        """Count a request that ended, with or without an answer."""
        self._health_of(name).in_progress -= 1

    def record_progress(self, name: str) -> None:
        """Record an answer or a part of one and reset the failures."""
        health = self._health_of(name)
        health.last_progress_ms = self._timer.now_ms()
        health.failures = 0

    def record_failure(self, name: str) -> None:
        """Record that a server was unreachable, broke off or did not answer.

        Each failure in a row doubles the delay before the server is tried
        again, up to ``MAX_RETRY_DELAY_MS``.
        """
        health = self._health_of(name)
        doublings = min(health.failures, _MAX_DOUBLINGS)
        health.failures += 1
        delay_ms = min(MIN_RETRY_DELAY_MS << doublings, MAX_RETRY_DELAY_MS)
        health.retry_at_ms = self._timer.now_ms() + delay_ms
        logger.info(
            'A backend server failed.', peer=name, failures=health.failures
        )

    def mark_leaving(self, name: str) -> None:
        """Record that a server's own answer said that it is leaving.

        This holds for ``LEAVING_TTL_MS``.
        """
        health = self._health_of(name)
        health.leaving_until_ms = self._timer.now_ms() + LEAVING_TTL_MS

    def is_leaving(self, name: str) -> bool:
        """Return whether a server is listed as leaving or has said so."""
        health = self._servers.get(name)
        if health is None:
            return False
        now_ms = self._timer.now_ms()
        return health.listed_leaving or now_ms < health.leaving_until_ms

    def is_usable(self, name: str) -> bool:
        """Return whether a server may get new calls.

        After a failure and the delay that follows it, a server gets a single
        request, which shows whether it has recovered.
        """
        health = self._servers.get(name)
        if health is None:
            return True
        if self.is_leaving(name) or self._is_stalled(health):
            return False
        if not health.failures:
            return True
        is_idle = not health.in_progress
        return is_idle and self._timer.now_ms() >= health.retry_at_ms

    def unusable(self) -> list[str]:
        """Return the servers that may not get new calls, for the state dump."""
        return [name for name in self._servers if not self.is_usable(name)]

    def _is_stalled(self, health: _ServerHealth) -> bool:
        silence_ms = self._timer.now_ms() - health.last_progress_ms
        return health.in_progress > 0 and silence_ms > STALL_TIMEOUT_MS

    def _health_of(self, name: str) -> _ServerHealth:
        return self._servers.setdefault(name, _ServerHealth())


def order_servers(
    servers: Sequence[bundles.Server], health: BackendHealth
) -> list[bundles.Server]:
    """Return the servers to try, usable ones first.

    Servers that failed are put last and not removed, since this host may be
    wrong about them. Leaving servers are removed.

    :raises NotRunError: if all servers are leaving.
    """
    staying = [
        server for server in servers if not health.is_leaving(server.name)
    ]
    if not staying:
        raise exceptions.NotRunError(
            'all servers are leaving', step='choose server'
        )
    return sorted(staying, key=lambda server: not health.is_usable(server.name))


def _server_names(bundle: bundles.Bundle) -> Iterator[str]:
    for model in bundle.models:
        yield from (worker.name for worker in model.workers)
    for service in bundle.services:
        yield from (server.name for server in service.servers)
