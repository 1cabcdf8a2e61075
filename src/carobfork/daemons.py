"""Daemons: thin processes around the library."""

import contextlib
import signal

import gevent
from gevent import event

from carobfork import composition, logs
from carobfork.protocol import documents


def run_entry(settings_path: str) -> None:
    """Run an entry host until it is told to stop."""
    settings = documents.load(settings_path, composition.EntrySettings)
    logs.configure(settings.log_format)
    run_until_stopped(composition.EntryHost(settings))


def run_until_stopped(part: contextlib.AbstractContextManager) -> None:
    """Hold a context open until SIGTERM or SIGINT.

    A signal while the context is still being entered ends the process at
    once, since nothing is served yet.
    """
    stopped = event.Event()
    starting = gevent.getcurrent()

    def stop() -> None:  # noqa: WPS430
        stopped.set()
        if not entered.is_set():
            gevent.kill(starting, SystemExit)

    entered = event.Event()
    gevent.signal_handler(signal.SIGTERM, stop)
    gevent.signal_handler(signal.SIGINT, stop)
    with part:
        entered.set()
        stopped.wait()
