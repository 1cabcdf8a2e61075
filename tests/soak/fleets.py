"""Fleets: the processes of one soak, and what stands around them."""

import contextlib
import pathlib
import shutil
import signal
import time
from collections.abc import Iterator

import attrs
import msgspec

from carobfork.state import bundles
from carobfork_standins import lab_processes
from tests import backends, configurations, object_store
from tests.soak import proxies, tenants

IP = '127.0.0.1'
FRONTS = 3
STORES = 3
BACKENDS = 3
"""Of each service."""
SLOTS = 8
CONFIG_SECONDS = 3
"""Longest time after which a configuration is in force; generous, as it only
decides which time limits a request may have."""
CONTACT_SECONDS = 3
"""How long after a disturbance the fleet counts as sound again."""
CALLERS_DEADLINE_MS = 3000
"""Of plain calls."""
SETTINGS = """
NodeName = "{name}"
PacesServers = true
Ip = "127.0.0.1"
Zone = "{zone}"
Region = "r"
PortRange = [{port}, {port}]
Seeds = [{seeds}]
DataDir = "{folder}"
[Listen]
Front = "127.0.0.1:{front}"
Ready = "127.0.0.1:{ready}"
Control = "127.0.0.1:{control}"
Directory = "127.0.0.1:{directory}"
[Tolerate]
Machines = 1
[Bounds]
GraceS = 4
[Provider]
Address = "127.0.0.1:{platform}"
"""


@attrs.define
class Host:
    """One process with its way to the platform's store."""

    process: lab_processes.LabProcess
    platform: proxies.Proxy
    folder: pathlib.Path
    is_down: bool = False
    faults: list[list[float]] = attrs.Factory(list)
    """Begin and end of what ended the process or let it stand still."""

    def begin_fault(self) -> None:
        """Keep other faults from the host."""
        self.is_down = True
        self.faults.append([time.monotonic(), float('inf')])

    def end_fault(self) -> None:
        """Let other faults come to the host."""
        self.is_down = False
        self.faults[-1][1] = time.monotonic()

    def had_fault(self, begin: float, end: float) -> bool:
        """Tell whether there was a fault at any time of a span."""
        return any(
            start <= end and begin <= over for start, over in self.faults
        )

    def kill(self) -> None:
        """End the process at once."""
        self.process.send(signal.SIGKILL)
        self.process.wait()

    @property
    def disk(self) -> str:
        """The identifier of its disk, empty if it has none yet."""
        path = self.folder / 'identity'
        if not path.exists():
            return ''
        return msgspec.msgpack.decode(path.read_bytes())['disk']

    def wipe(self) -> None:
        """Empty the disk of a process that has ended."""
        shutil.rmtree(self.folder, ignore_errors=True)


class Fleet:
    """Entry hosts, store hosts, backend servers and the platform's store.

    :param folder: for settings, logs and disks.
    :param limits: tables that are added to the settings.
    :param slots: calls that each backend server runs at a time.
    """

    def __init__(
        self, folder: pathlib.Path, limits: str = '', slots: int = SLOTS
    ) -> None:
        """Prepare the fleet."""
        self.store = object_store.ObjectStoreApplication()
        self.fronts: dict[str, Host] = {}
        self.stores: dict[str, Host] = {}
        self.backends: dict[str, backends.BackendApplication] = {}
        self.links: dict[str, proxies.Proxy] = {}
        self.version = 1
        self.timeouts: list[tuple[float, float]] = []
        """When each configuration was written, and its time limit in ms."""
        self.releases = 0
        self.revoked: set[str] = set()
        self._disturbed: list[list[float]] = []
        self.retired: list[backends.BackendApplication] = []
        self._folder = folder
        self._limits = limits
        self._slots = slots
        self._stack = contextlib.ExitStack()
        self._addresses: dict[str, tuple[str, int]] = {}

    def __enter__(self) -> 'Fleet':
        """Start everything."""
        self._platform = (IP, configurations.free_port())
        server = object_store.serve(self.store, self._platform)
        self._stack.callback(server.stop, 0)
        self.configure()
        for number in range(BACKENDS):
            self._add_backend(f'e{number}', configurations.ENGINES)
            self._add_backend(f't{number}', configurations.TOOLS)
        controls = [configurations.free_port() for _ in range(STORES)]
        for number, control in enumerate(controls):
            name = f'store-{number}'
            self.stores[name] = self._start(name, 'store', controls, control)
        for number in range(FRONTS):
            name = f'front-{number}'
            port = configurations.free_port()
            self.fronts[name] = self._start(name, 'front', controls, port)
        return self

    def __exit__(self, *failure) -> None:
        """End what was started, by its process identifiers."""
        for host in (*self.fronts.values(), *self.stores.values()):
            if host.process.handle.poll() is None:
                host.process.send(signal.SIGCONT)
                host.kill()
        self._stack.close()

    def configure(self, timeout_ms: float = 0, **fields) -> None:
        """Write the next version of the configuration.

        :param timeout_ms: time limit of its routes; by default as before.
        """
        self.version += 1
        spec = configurations.configuration(self.version, **fields)
        spec['Routes'].append(configurations.talk_route())
        known_ms = self.timeouts[-1][1] if self.timeouts else 0
        timeout_ms = timeout_ms or known_ms or configurations.TIMEOUT_MS
        for route in spec['Routes']:
            route['TimeoutMs'] = min(route['TimeoutMs'], timeout_ms)
        self.timeouts.append((time.monotonic(), timeout_ms))
        spec['Tenants'] = tenants.entries(self.revoked)
        self.store.put('config', 'main', spec)

    def register(self, instance: str, **fields) -> None:
        """Write a backend server's entry."""
        is_engine = instance.startswith('e')
        ip, port = self._addresses[instance]
        entry = {
            'Service': configurations.ENGINES
            if is_engine
            else configurations.TOOLS,
            'Address': f'{ip}:{port}',
            'Zone': 'a',
            'Slots': self._slots,
            'State': 'ready',
            'born': self.backends[instance].started_ms,
            'Version': self.backends[instance].version,
            **fields,
        }
        self.store.put('servers', instance, entry)

    def delay(self, delay_ms: float) -> None:
        """Let the backend servers take longer for answers and events."""
        for backend in self.backends.values():
            backend.faults.delay_ms = delay_ms

    def address(self, name: str) -> tuple[str, int]:
        """Return where callers reach an entry host."""
        address = self.fronts[name].process.address
        return address.ip, address.port

    def is_settled(self) -> bool:
        """Tell whether the disks of all hosts are members and none joins.

        A disk that was lost stays a member until another one has joined.
        """
        stored = self.store.get('carobfork-storage', 'main')
        if stored is None:
            return False
        group = stored['Spec']
        disks = {host.disk for host in self.stores.values()}
        members = {member['disk'] for member in group['members']}
        return members == disks and not group['following']

    def is_changing(self) -> bool:
        """Tell whether the storage group is in a change."""
        stored = self.store.get('carobfork-storage', 'main')
        return stored is not None and bool(stored['Spec']['following'])

    @contextlib.contextmanager
    def disturbed(self) -> Iterator[None]:
        """Note that something is not sound while the context is open."""
        span = [time.monotonic(), float('inf')]
        self._disturbed.append(span)
        try:
            yield
        finally:
            span[1] = time.monotonic()

    def is_sound(self, begin: float, end: float) -> bool:
        """Tell whether all was sound in a span of time and before it."""
        return not any(
            start <= end and begin - CONTACT_SECONDS <= over
            for start, over in self._disturbed
        )

    def time_limit_ms(self, sent_seconds: float) -> float:
        """Return the shortest time limit that may hold for a request.

        :param sent_seconds: when the caller sent it.
        """
        limits_ms = [CALLERS_DEADLINE_MS]
        for written, timeout_ms in reversed(self.timeouts):
            limits_ms.append(timeout_ms)
            if written < sent_seconds - CONFIG_SECONDS:
                break
        return min(limits_ms)

    def served(self) -> list[backends.BackendApplication]:
        """Return all backend servers that there are and were."""
        return [*self.backends.values(), *self.retired]

    def add_release(self, version: str) -> str:
        """Start a model engine of a software version and return its name."""
        instance = f'e{BACKENDS + self.releases}'
        self.releases += 1
        self._add_backend(instance, configurations.ENGINES, version)
        return instance

    def retire(self, instance: str) -> None:
        """Remove a backend server that has drained, and cut it off."""
        self.store.remove('servers', instance)
        self.retired.append(self.backends.pop(instance))
        link = self.links.pop(instance)
        link.faults.is_cut = True
        link.reset()

    def _add_backend(
        self, instance: str, service: str, version: str = 'v1'
    ) -> None:
        application = backends.BackendApplication(instance, version)
        address = (IP, configurations.free_port())
        server = backends.serve(application, address)
        self._stack.callback(server.stop, 0)
        near = (IP, configurations.free_port())
        self.links[instance] = self._stack.enter_context(
            proxies.Proxy(near, address)
        )
        self._addresses[instance] = near
        self.backends[instance] = application
        self.register(instance)

    def _start(
        self, name: str, role: str, controls: list[int], port: int
    ) -> Host:
        near = (IP, configurations.free_port())
        platform = self._stack.enter_context(
            proxies.Proxy(near, self._platform)
        )
        disk = self._folder / f'{name}.disk'
        path = self._folder / f'{name}.toml'
        path.write_text(
            SETTINGS.format(
                name=name,
                zone='abc'[len(self.fronts or self.stores) % 3],
                port=configurations.free_port() - 1,
                seeds=', '.join(f'"{IP}:{control}"' for control in controls),
                folder=disk,
                front=port,
                ready=configurations.free_port(),
                control=port,
                directory=configurations.free_port(),
                platform=near[1],
            )
            + self._limits
        )
        process = lab_processes.LabProcess(
            name,
            ['carobfork.roles', role],
            bundles.Address(IP, port),
            self._folder / f'{name}.log',
            variables={'CAROBFORK_SETTINGS': str(path)},
        )
        process.start()
        return Host(process, platform, disk)
