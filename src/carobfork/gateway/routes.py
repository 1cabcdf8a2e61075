"""Routes: which service answers a request, and what may be repeated."""

import bisect
import enum
import random
from collections.abc import Mapping, Sequence

import attrs

DEFAULT_TIMEOUT_MS = 30_000
"""For routes without one: the longest silence of an interactive caller."""


class Kind(enum.StrEnum):
    """What may be repeated of a route's requests."""

    safe = 'safe'
    unsafe = 'unsafe'
    stream = 'stream'


@attrs.frozen
class Backend:
    """A service that a route sends a part of its requests to."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where requests of one host and path prefix go.

    :param timeout_ms: longest time a request is kept waiting.
    :param goal_ms: time within which an answer is on time.
    :param rank: urgency, 0 is the most urgent.
    :param attempts: most backend servers that may run one request.
    :param retain_ms: how long turns are kept, where ``is_retained``.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    backends: tuple[Backend, ...]
    timeout_ms: float = DEFAULT_TIMEOUT_MS
    target_latency_ms: float = 0
    rank: int = 0
    max_attempts: int = 1
    is_resumable: bool = False
    is_retained: bool = False
    retain_ms: float = 0

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind == Kind.stream:
            return self.is_resumable
        return self.kind == Kind.safe

    def choose_service(self) -> str:
        """Return one of the services, by weight."""
        if len(self.backends) == 1:
            return self.backends[0].service
        weights = [backend.weight for backend in self.backends]
        return random.choices(self.backends, weights)[0].service


@attrs.frozen
class Service:
    """Backend servers of one kind.

    :param slots: calls that one server runs at a time, 0 where not told.
    :param event_tokens: tokens that one event of a stream counts for.
    """

    name: str
    health_path: str = ''
    max_connections: int = 0
    slots: int = 0
    cache_tokens: int = 0
    event_tokens: int = 1
    is_engine: bool = False


@attrs.frozen
class CallerLimits:
    """What callers may send, and how long they may take."""

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_ms: float = 3000
    idle_ms: float = 15_000


class RouteTable:
    """The routes and services of one version of the configuration."""

    def __init__(
        self,
        version: int,
        routes: Sequence[Route],
        services: Mapping[str, Service],
        limits: CallerLimits,
    ) -> None:
        """Index the routes by host."""
        self.version = version
        self.services = services
        self.limits = limits
        self.routes = tuple(routes)
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            bisect.insort(
                self._by_host.setdefault(route.host.lower(), []),
                route,
                key=_longest_first,
            )

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix, if any."""
        name = host.partition(':')[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None


def _longest_first(route: Route) -> int:
    return -len(route.prefix)
