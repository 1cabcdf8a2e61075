"""Observations: what exchanges with backend servers tell of their health."""

import contextlib
from collections.abc import Iterator

from carobfork import exceptions
from carobfork.coordination import backends, ports
from carobfork.state import bundles


class MonitoredModels:
    """Model engines whose streams are watched.

    :param backend: the model engines.
    :param health: learns from each stream.
    """

    def __init__(
        self, backend: ports.ModelBackend, health: backends.BackendHealth
    ) -> None:
        """Wrap a backend."""
        self.decode = backend.decode
        self.turn = backend.turn
        self._backend = backend
        self._health = health

    def __getattr__(self, name: str):
        """Return what the backend offers beside streams."""
        return getattr(self._backend, name)

    def stream(
        self, worker: bundles.Worker, prompt: ports.Prompt
    ) -> Iterator[bytes]:
        """Yield whole server-sent events as they come."""
        with _monitored(self._health, worker.name):
            for events in self._backend.stream(worker, prompt):
                self._health.record_progress(worker.name)
                yield events


class MonitoredServices:
    """Plain services whose answers are watched.

    :param backend: the plain services.
    :param health: learns from each answer.
    """

    def __init__(
        self, backend: ports.ServiceBackend, health: backends.BackendHealth
    ) -> None:
        """Wrap a backend."""
        self._backend = backend
        self._health = health

    def send(
        self,
        server: bundles.Server,
        request: ports.ServiceRequest,
        timeout_ms: int,
    ) -> ports.ServiceReply:
        """Send a request once and wait for its answer.

        :raises LeavingError: the server refused since it leaves.
        """
        with _monitored(self._health, server.name):
            reply = self._backend.send(server, request, timeout_ms)
            self._health.record_progress(server.name)
            if reply.leaving:
                self._health.mark_leaving(server.name)
            return reply


@contextlib.contextmanager
def _monitored(health: backends.BackendHealth, name: str) -> Iterator[None]:
    health.begin_request(name)
    try:
        yield
    except exceptions.LeavingError:
        health.mark_leaving(name)
        raise
    except exceptions.ConnectionFailedError:
        health.record_failure(name)
        raise
    finally:
        health.end_request(name)
