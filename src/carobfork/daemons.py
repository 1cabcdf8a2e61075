"""Daemons: thin processes around the library."""

import contextlib
import signal

import gevent
import structlog
from gevent import event

from carobfork import composition
from carobfork.protocol import documents

LOG_RENDERERS = {  # noqa: WPS407
    'json': structlog.processors.JSONRenderer,
    'text': structlog.dev.ConsoleRenderer,
}


def configure_logs(log_format: str) -> None:
    """Write logs as JSON lines or readable text."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            LOG_RENDERERS[log_format](),
        ]
    )


def run_entry(settings_path: str) -> None:
    """Run an entry host until it is told to stop."""
    settings = documents.load(settings_path, composition.EntrySettings)
    configure_logs(settings.log_format)
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
