"""Find workers by service, software version and whether they have an entry."""

from collections.abc import Iterable, Sequence

from carobfork.gateway import workers


class WorkerIndex:
    """The workers that the registry does not name as draining."""

    def __init__(self) -> None:
        """Create an empty index."""
        self._workers: dict[tuple[str, bool], list[workers.Worker]] = {}

    def rebuild(self, known: Iterable[workers.Worker]) -> None:
        """Index these workers instead of the earlier ones."""
        self._workers = {}
        for worker in known:
            if not worker.entry.is_draining:
                key = (worker.entry.service, worker.unlisted_since_ms is None)
                self._workers.setdefault(key, []).append(worker)

    def find(
        self, service: str, version: str | None, *, is_listed: bool
    ) -> Sequence[workers.Worker]:
        """Return the workers of a service.

        :param version: the version that their software must have; ``None``
            means any.
        :param is_listed: whether they have an entry in the registry.
        """
        found = self._workers.get((service, is_listed), ())
        if version is None:
            return found
        return [worker for worker in found if worker.has_version(version)]
