"""Store what a store host knows of requests that crash servers.

The crashes under requests that are not blocked yet are stored as well: after a
restart of all store hosts they would count from the start.
"""

import pathlib
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
import structlog

from carobfork import clock
from carobfork.storage import crash_histories

_BLOCKED_FILE = 'blocked'
"""Read by older versions, too."""
_CRASHES_FILE = 'crashes'

logger = structlog.get_logger(part='disk')


class CrashFiles:
    """The files of one disk with blocked requests and with crashes.

    :param folder: the disk's directory.
    :param replace: replaces a file durably, by its name and content.
    :param timer: the wall clock.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        replace: Callable[[str, Any], None],
        timer: clock.Clock,
    ) -> None:
        """Create the files' owner without reading them."""
        self._folder = folder
        self._replace = replace
        self._timer = timer

    def save_blocked(self, blocked: Mapping[str, float]) -> None:
        """Store how long requests stay blocked, in ms, by fingerprint."""
        now_ms = self._timer.now_ms()
        self._save(
            _BLOCKED_FILE,
            {
                fingerprint: now_ms + left_ms
                for fingerprint, left_ms in blocked.items()
            },
        )

    def load_blocked(self) -> dict[str, float]:
        """Return how long requests stay blocked, in ms, by fingerprint."""
        until_ms = self._load(_BLOCKED_FILE, dict[str, float])
        now_ms = self._timer.now_ms()
        return {
            fingerprint: expires_ms - now_ms
            for fingerprint, expires_ms in (until_ms or {}).items()
        }

    def save_crashes(
        self, crashes: Mapping[str, crash_histories.CrashCount]
    ) -> None:
        """Store the crashes under requests, by fingerprint."""
        self._save(_CRASHES_FILE, (self._timer.now_ms(), crashes))

    def load_crashes(self) -> dict[str, crash_histories.CrashCount]:
        """Return the crashes under requests that still count."""
        stored = self._load(
            _CRASHES_FILE, tuple[float, dict[str, crash_histories.CrashCount]]
        )
        if stored is None:
            return {}
        saved_ms, crashes = stored
        age_ms = self._timer.now_ms() - saved_ms
        return {
            fingerprint: count.aged(age_ms)
            for fingerprint, count in crashes.items()
            if count.left_ms > age_ms
        }

    def _save(self, name: str, content: Any) -> None:
        try:
            self._replace(name, content)
        except OSError as error:
            logger.error('crashes not stored', file=name, reason=str(error))

    def _load(self, name: str, kind: Any) -> Any:
        path = self._folder / name
        if not path.exists():
            return None
        try:
            return msgspec.msgpack.decode(path.read_bytes(), type=kind)
        except msgspec.MsgspecError as error:
            # They count from the start; the host is needed for its records.
            logger.error('crashes not read', file=name, reason=str(error))
            return None
