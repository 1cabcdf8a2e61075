"""Run a role: ``python3 -m carobfork.roles front``."""

import contextlib
import importlib
import os
import signal
import sys
from collections.abc import Iterator

import gevent
import structlog
from gevent import event

from carobfork import exceptions, host_logs
from carobfork.platform import settings
from carobfork.roles import hosts

NAMES = ('front', 'store')

logger = structlog.get_logger(part='host')


class StartError(exceptions.CarobforkError):
    """A role can't open its address or its folder."""

    code = 'not_started'
    outcome = exceptions.Outcome.not_run


@contextlib.contextmanager
def _start_errors(name: str) -> Iterator[None]:
    """Name the role in errors of the operating system while it starts."""
    try:
        yield
    except OSError as error:
        raise StartError(str(error), step='start', peer=name) from error


def run(name: str) -> None:
    """Run a role until SIGTERM or SIGINT.

    :param name: the role's registered name.
    :raises SettingsError: if the settings can't be read.
    :raises StartError: if an address is taken or the folder can't be used.
    """
    importlib.import_module(f'carobfork.roles.{name}')
    host_settings = settings.load()
    host_logs.configure()
    logger.info(
        'start', role=name, node=host_settings.node, zone=host_settings.zone
    )
    with _start_errors(name):
        host = hosts.ROLES[name](host_settings)
    stopped = event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopped.set)
    gevent.signal_handler(signal.SIGHUP, host.reload)
    host.repeat(host.reload, hosts.SETTINGS_POLL_MS)
    with contextlib.ExitStack() as stack:
        with _start_errors(name):
            stack.enter_context(host)
        logger.info('started', pid=os.getpid())
        stopped.wait()
        logger.info('stopping')
        host.stop()
    logger.info('stopped')
    host_logs.flush()


def main() -> None:
    """Run the role that the command line names.

    If the arguments or the settings are invalid, or the role can't start, the
    process exits with 1 and a line on standard error.
    """
    if len(sys.argv) != 2 or sys.argv[1] not in NAMES:
        sys.exit(f'usage: python3 -m carobfork.roles {"|".join(NAMES)}')
    try:
        run(sys.argv[1])
    except (exceptions.SettingsError, StartError) as error:
        sys.exit(f'carobfork: {error}')
    # Threads of gevent's pool and hanging connections must not delay the exit.
    os._exit(0)  # noqa: WPS437


if __name__ == '__main__':
    main()
