"""Labs: a whole deployment of separate processes on loopback addresses.

Each lab takes a loopback network of its own, so labs can run side by side.
"""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from types import TracebackType

import gevent
import psutil

from carobfork import sessions
from carobfork.protocol import documents, signatures
from carobfork.state import bundles
from carobfork.transport import connections, peer_keys
from carobfork_standins import lab_processes, layouts

LOG_LINES = 25


class Lab:
    """Run a layout's processes, as a context manager.

    :param directory: where settings, keys and logs go.
    :param layout: which processes there are.
    """

    def __init__(self, directory: str, layout: layouts.Layout) -> None:
        """Prepare the lab; entering starts its processes."""
        self.directory = pathlib.Path(directory)
        self.layout = layout
        self.processes: dict[str, lab_processes.LabProcess] = {}

    def __enter__(self) -> 'Lab':
        """Start everything and roll the first bundle."""
        self.directory.mkdir(parents=True, exist_ok=True)
        signatures.make_keys(
            self.path('operators.key'), self.path('operators.pub')
        )
        peer_keys.make_keys(self.path('peers.key'))
        try:
            self._start_all()
        except BaseException:
            self._kill_all()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop everything gracefully, or kill it after a failure."""
        try:
            if kind is None:
                self._stop_all()
            else:
                self._show_logs()
        finally:
            self._kill_all()

    def path(self, name: str) -> str:
        """Return the path of one of the lab's files."""
        return str(self.directory / name)

    def start(self, name: str) -> None:
        """Start a process, anew if it ran before."""
        self.processes[name].start()

    def kill(self, name: str) -> None:
        """Kill a process without warning."""
        self.processes[name].send(signal.SIGKILL)
        self.processes[name].wait()

    def stop(self, name: str) -> int:
        """Stop a process gracefully and return its exit code."""
        self.processes[name].send(signal.SIGTERM)
        return self.processes[name].wait()

    def freeze(self, name: str) -> None:
        """Stop a process from running, without ending it."""
        self.processes[name].send(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        self.processes[name].send(signal.SIGCONT)

    def session(self, entry: str = '', **options) -> sessions.Session:
        """Return a caller's session by all entry hosts, or those named.

        :param entry: names separated by commas; no others are used then.
        """
        names = entry.split(',') if entry else self.layout.entry_names
        addresses = [str(self.processes[name].address) for name in names]
        return sessions.Session(addresses, pinned=bool(entry), **options)

    def ask(
        self,
        name: str,
        path: str,
        method: str = 'GET',
        fields: dict | None = None,
    ) -> dict:
        """Exchange JSON with a process."""
        return ask(self.processes[name].address, path, method, fields)

    def state(self, entry: str) -> dict:
        """Return an entry host's state dump."""
        return ask(self.layout.operator_address(entry), '/state')

    def runs(self, name: str) -> bool:
        """Tell whether a process is running."""
        return self.processes[name].handle.poll() is None

    def running_entries(self) -> list[str]:
        """Return the names of the entry hosts that run."""
        return [name for name in self.layout.entry_names if self.runs(name)]

    def cpu_seconds(self, name: str) -> float:
        """Return the processor time that a process has used."""
        times = self._inspect(name).cpu_times()
        return times.user + times.system

    def memory_bytes(self, name: str) -> int:
        """Return the resident memory of a process."""
        return self._inspect(name).memory_info().rss

    def roll(self, bundle: bundles.Bundle) -> None:
        """Sign a bundle off and roll it by the command line."""
        plain = self.path(f'bundle-{bundle.version}.jsonc')
        signed = self.path(f'bundle-{bundle.version}.signed.json')
        text = json.dumps(documents.to_fields(bundle), indent=2)
        pathlib.Path(plain).write_text(text)
        self.command(
            'bundle', 'sign', plain, self.path('operators.key'), signed
        )
        platform = str(self.layout.platform_address)
        self.command(
            'bundle', 'roll', signed, platform, self.path('operators.pub')
        )

    def command(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run the command line.

        :raises lab_processes.LabError: it fails.
        """
        done = subprocess.run(
            [sys.executable, '-m', 'carobfork', *arguments],
            capture_output=True,
            text=True,
            check=False,
        )
        if done.returncode:
            raise lab_processes.LabError(
                done.stderr or done.stdout, step=' '.join(arguments)
            )
        return done

    def wait_for_bundle(self, version: int) -> None:
        """Wait until a bundle version is in force on all entry hosts."""
        deadline = time.monotonic() + lab_processes.READY_SECONDS
        for entry in self.running_entries():
            while self.state(entry)['bundle_version'] < version:
                if time.monotonic() > deadline:
                    raise lab_processes.LabError(
                        'no bundle came into force', peer=entry
                    )
                gevent.sleep(lab_processes.POLL_SECONDS)

    def _inspect(self, name: str) -> psutil.Process:
        return psutil.Process(self.processes[name].handle.pid)

    def _start_all(self) -> None:
        for name, settings in self.layout.settings(str(self.directory)):
            path = self.directory / f'{name}.jsonc'
            path.write_text(json.dumps(documents.to_fields(settings), indent=2))
            self.processes[name] = lab_processes.LabProcess(
                name=name,
                arguments=layouts.arguments(name, str(path)),
                address=layouts.main_address(settings),
                log_path=self.directory / f'{name}.log',
            )
            self.start(name)
        self.roll(self.layout.bundle())
        self.wait_for_bundle(1)

    def _stop_all(self) -> None:
        running = [
            name
            for name, process in self.processes.items()
            if process.handle.poll() is None
        ]
        entries = [name for name in running if name in self.layout.entry_names]
        others = [name for name in running if name not in entries]
        for group in (entries, others):
            self._stop_group(group)

    def _stop_group(self, names: Sequence[str]) -> None:
        for name in names:
            self.thaw(name)
            self.processes[name].send(signal.SIGTERM)
        for stopped in names:
            self.processes[stopped].wait()

    def _show_logs(self) -> None:
        for process in self.processes.values():
            lines = process.log_path.read_text().splitlines()[-LOG_LINES:]
            sys.stderr.write('\n'.join([f'--- {process.name}', *lines, '']))

    def _kill_all(self) -> None:
        for process in self.processes.values():
            if process.handle is not None and process.handle.poll() is None:
                os.killpg(process.handle.pid, signal.SIGKILL)
                process.handle.wait()


def ask(
    address: bundles.Address,
    path: str,
    method: str = 'GET',
    fields: dict | None = None,
) -> dict:
    """Exchange JSON with an address."""
    body = b'' if fields is None else json.dumps(fields).encode()
    request = connections.HttpRequest(method, path, body)
    with connections.Exchange(address, request) as exchange:
        return json.loads(exchange.read())
