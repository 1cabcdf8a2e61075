"""Wrap backend clients to track the health of the backend servers."""

import contextlib
from collections.abc import Iterator

from carobfork import exceptions
from carobfork.coordination import backends, ports
from carobfork.state import bundles


class MonitoredModels:
    """Client of the model engines that records the course of each stream.

    :param backend: the wrapped client.
    :param health: health of the backend servers; updated by each stream.
    """

    def __init__(
        self, backend: ports.ModelBackend, health: backends.BackendHealth
    ) -> None:
        """Wrap a client."""
        self.decode = backend.decode
        self.turn = backend.turn
        self._backend = backend
        self._health = health

    def __getattr__(self, name: str):
        """Delegate all other attributes to the wrapped client."""
        return getattr(self._backend, name)

    def stream(
        self, worker: bundles.Worker, prompt: ports.Prompt
    ) -> Iterator[bytes]:
        """Yield complete server-sent events as they arrive.

        :raises LeavingError: if the engine refused because it is leaving.
        :raises ConnectionFailedError: if the stream broke off.
        """
        with _monitored(self._health, worker.name):
            for events in self._backend.stream(worker, prompt):
                self._health.record_progress(worker.name)
                yield events


class MonitoredServices:
    """Client of the plain services that records how each request ends.

    :param backend: the wrapped client.
    :param health: health of the backend servers; updated by each request.
    """

    def __init__(
        self, backend: ports.ServiceBackend, health: backends.BackendHealth
    ) -> None:
        """Wrap a client."""
        self._backend = backend
        self._health = health

    def send(
        self,
        server: bundles.Server,
        request: ports.ServiceRequest,
        timeout_ms: int,
    ) -> ports.ServiceReply:
        """Send a request once and wait for its answer.

        :param timeout_ms: how long to wait for the answer.
        :raises LeavingError: if the server refused because it is leaving.
        :raises ConnectionFailedError: if no complete answer arrived.
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
