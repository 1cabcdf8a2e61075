"""Lab processes: one process of a lab, started, signalled and awaited."""

import os
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Mapping

import attrs
import gevent
from gevent import socket

from carobfork import exceptions
from carobfork.state import bundles

READY_SECONDS = 30
STOP_SECONDS = 30
POLL_SECONDS = 0.05


class LabError(exceptions.CarobforkError):
    """A process of the lab did not do what it should."""

    code = 'lab'


@attrs.define
class LabProcess:
    """A process of the lab and how to start it."""

    name: str
    arguments: list[str]
    address: bundles.Address
    log_path: pathlib.Path
    handle: subprocess.Popen | None = None
    variables: Mapping[str, str] = attrs.Factory(dict)

    def start(self) -> None:
        """Start the process and wait until it listens."""
        self.launch()
        self.wait_until_ready()

    def launch(self) -> None:
        """Start the process without waiting for it."""
        with self.log_path.open('ab') as log:
            self.handle = subprocess.Popen(
                [sys.executable, '-m', *self.arguments],
                env={**os.environ, **self.variables},
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.handle.send_signal(number)

    def wait(self) -> int:
        """Wait for the process to end and return its exit code."""
        deadline = time.monotonic() + STOP_SECONDS
        while self.handle.poll() is None:
            if time.monotonic() > deadline:
                raise LabError('the process does not end', peer=self.name)
            gevent.sleep(POLL_SECONDS)
        return self.handle.returncode

    def wait_until_ready(self) -> None:
        """Wait until the process listens.

        :raises LabError: it ends or takes too long.
        """
        deadline = time.monotonic() + READY_SECONDS
        while not _listens(self.address):
            if self.handle.poll() is not None or time.monotonic() > deadline:
                raise LabError(
                    f'not ready, see {self.log_path}', peer=self.name
                )
            gevent.sleep(POLL_SECONDS)


def _listens(address: bundles.Address) -> bool:
    try:
        socket.create_connection((address.ip, address.port), timeout=1).close()
    except OSError:
        return False
    return True
