"""Map requests to services and their backend servers.

A route also says whether its requests may be repeated.
"""

import bisect
import enum
import random
from collections.abc import Mapping, Sequence

import attrs

from carobfork.tenancy import tenants

DEFAULT_TIMEOUT_MS = 30_000
"""Timeout of routes without one of their own: the longest time that an
interactive caller waits without an answer."""


class Kind(enum.StrEnum):
    """Whether a route's requests may be repeated, and how they are answered.

    ``safe`` requests may run more than once, ``unsafe`` ones at most once. A
    ``stream`` is answered with events and may be repeated if it is resumable.
    """

    safe = 'safe'
    unsafe = 'unsafe'
    stream = 'stream'


@attrs.frozen
class Backend:
    """A service that receives a share of a route's requests.

    :param service: the service's name.
    :param weight: the share relative to the route's other services.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """The rule for requests with a given ``Host`` header and path prefix.

    :param name: the route's name in logs.
    :param host: the host name that requests must have.
    :param prefix: the prefix that request paths must have.
    :param kind: whether requests may be repeated.
    :param backends: the services that share the requests.
    :param timeout_ms: maximum time until a request is answered.
    :param target_latency_ms: time within which an answer is on time.
    :param target_gap_ms: longest pause between events for which a stream is
        on time, or 0 if there is no target.
    :param rank: priority class, 0 first.
    :param max_attempts: maximum number of backend servers that may run one
        request.
    :param is_resumable: whether callers can resume a stream after the last
        event that they received.
    :param is_retained: whether turns are stored after they have ended.
    :param retain_ms: how long turns are stored if ``is_retained``.
    :param is_public: whether callers need no key.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    backends: tuple[Backend, ...]
    timeout_ms: float = DEFAULT_TIMEOUT_MS
    target_latency_ms: float = 0
    target_gap_ms: float = 0
    rank: int = 0
    max_attempts: int = 1
    is_resumable: bool = False
    is_retained: bool = False
    retain_ms: float = 0
    is_public: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind == Kind.stream:
            return self.is_resumable
        return self.kind == Kind.safe

    def may_use(self, service: str) -> bool:
        """Return whether a service receives a share of the requests."""
        return any(
            backend.service == service and backend.weight > 0
            for backend in self.backends
        )

    def choose_service(self) -> str:
        """Return the name of a service drawn at random by weight."""
        if len(self.backends) == 1:
            return self.backends[0].service
        weights = [backend.weight for backend in self.backends]
        return random.choices(self.backends, weights)[0].service


@attrs.frozen
class Service:
    """A group of interchangeable backend servers.

    :param name: the service's name.
    :param health_path: path of the health check, if there is one.
    :param max_connections: maximum number of connections, or 0 if unknown.
    :param slots: number of calls that one server runs at a time, or 0 if
        unknown.
    :param cache_tokens: capacity of one server's prompt cache, or 0 if
        unknown.
    :param event_tokens: number of tokens charged for one event of a stream.
    :param is_engine: whether the servers are model engines.
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
    """Limits of requests and connections of callers.

    :param head_bytes: maximum size of a request head.
    :param body_bytes: maximum size of a request body.
    :param head_ms: maximum time to send a head.
    :param idle_ms: how long an idle connection is kept open.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_ms: float = 3000
    idle_ms: float = 15_000


class RouteTable:
    """The routes and services of one version of the configuration.

    :param version: the version.
    :param routes: the routes.
    :param services: the services by name.
    :param limits: what callers may send.
    :param keys: the tenants by their keys; ``None`` if callers need none.
    """

    def __init__(
        self,
        version: int,
        routes: Sequence[Route],
        services: Mapping[str, Service],
        limits: CallerLimits,
        keys: tenants.KeyTable | None = None,
    ) -> None:
        """Index the routes by host name."""
        self.version = version
        self.services = services
        self.limits = limits
        self.keys = keys
        self.routes = tuple(routes)
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            bisect.insort(
                self._by_host.setdefault(route.host.lower(), []),
                route,
                key=_longest_first,
            )

    def identify(
        self, route: Route, keys: Sequence[str]
    ) -> tenants.Tenant | None:
        """Return the tenant that a caller belongs to.

        :param route: the route that the request matches.
        :param keys: the keys that the caller sent.
        :return: ``None`` if callers of the route need no key.
        :raises UnknownKeyError: if the caller needs another key.
        :raises BadRequestError: if it sent several.
        """
        if self.keys is None or route.is_public:
            return None
        return self.keys.find(keys)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, if any.

        :param host: the ``Host`` header, with or without a port.
        :param path: the path of the request.
        """
        name = host.partition(':')[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None


def _longest_first(route: Route) -> int:
    return -len(route.prefix)
