"""Start the project's own programs as the deploy file says, on loopback."""

import os
import pathlib
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import standins

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'desk.example'
AGENTS = 'agents'
ORDERS = 'orders'
CONTACT_S = 3.0
RETAIN_S = 60.0
ZONES = ('zone-a', 'zone-b', 'zone-c')
SETTINGS = """
NodeName = "{name}"
Role = "{role}"
MachineClass = "{role}"
Serves = {serves}
Ip = "127.0.0.1"
Zone = "{zone}"
Region = "region"
PortRange = [{first}, {last}]
Seeds = [{seeds}]
Bootstrap = {bootstrap}
InTolerance = {counted}
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","recover","agent","stream","engine","platform"]
DataDir = "{folder}"
[Zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"
[Listen]
{listen}
[Limits]
CpuShare = {share}
Cpus = 2
MemoryMb = {memory}
MaxFds = {files}
LinkMbps = 1000.0
DiskMb = {disk}
[Tolerate]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4.4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigMs = 2000
RollbackSlackMs = 250
SkewMaxMs = 5000
RecoveryS = 12
PassMs = 120
RetryAfterS = 0
FinishS = 10
SettleMs = 1000
ttl_max_s = 5
[Provider]
Address = "{platform}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
"""


class CannotRunError(Exception):
    """The case can't run on this machine."""


def configuration(version=3, **more):
    """Return a configuration like that of a small site."""
    def route(name, prefix, kind, service, **fields):
        return {
            'Name': name, 'Host': HOST, 'PathPrefix': prefix, 'Kind': kind,
            'TimeoutMs': 3000, 'GoalMs': 500, 'Priority': 2,
            'Service': service, 'Attempts': 2, 'Retain': False,
            'RetainS': RETAIN_S, 'Sticky': False, 'Resumable': False, **fields,
        }
    engine = {
        'Slots': 8, 'KvCapacity': 97943, 'KvTokenBytes': 18432,
        'LinkMbps': 550000.0, 'Moves': True, 'Backups': True,
        'Stride': standins.STRIDE, 'most': 12, 'PinMs': 4000.0,
        'HoldMs': 2000.0, 'handle_s': 5.0, 'Models': [{'Name': 'm'}],
    }
    return {
        'Version': version,
        'Routes': [
            route('r-measure', '/measure/', 'stream', AGENTS, Retain=True,
                  Sticky=True, GapTargetMs=150),
            route('r-quote', '/quote/', 'stream', AGENTS, Resumable=True,
                  Sticky=True, GapTargetMs=150, GoalMs=250, Priority=0),
            route('r-look', '/look/', 'safe', ORDERS, TimeoutMs=1500),
            route('r-cut', '/cut/', 'unsafe', ORDERS, TimeoutMs=6000,
                  Attempts=1),
        ],
        'Services': [
            {'Name': AGENTS, 'HealthPath': '/health', 'MaxConns': 130,
             'Protocol': 'h1', 'Tls': False, 'Engine': engine},
            {'Name': ORDERS, 'HealthPath': '/health', 'MaxConns': 96,
             'Protocol': 'h1', 'Tls': False},
        ],
        'Limits': {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 4194304,
                   'HeaderTimeoutMs': 3000, 'IdleTimeoutMs': 15000},
        **more,
    }


class Host:
    """One process of the project, started, signalled and awaited."""

    def __init__(self, fleet, name, role, address, text, folder):
        self.fleet = fleet
        self.name = name
        self.role = role
        self.address = address
        self.folder = folder
        self.path = fleet.folder / f'{name}.toml'
        self.text = text
        self.path.write_text(text)
        self.log = fleet.folder / f'{name}.log'
        self.handle = None

    def start(self, wait=True):
        """Start the process with the command of the deploy file."""
        if self.handle is not None:
            self.path.write_text(
                self.text.replace('Bootstrap = true', 'Bootstrap = false')
            )
        words = self.fleet.commands[self.role]
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        environment['CAROBFORK_SETTINGS'] = str(self.path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self.log.open('ab') as log:
            self.handle = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL, start_new_session=True,
            )
        self.fleet.record(f'{self.name} is started')
        if wait:
            self.wait_listening()

    def wait_listening(self):
        """Wait until the process listens."""
        until = time.monotonic() + 20
        while True:
            try:
                socket.create_connection(self.address, timeout=1).close()
                return
            except OSError:
                pass
            if self.handle.poll() is not None or time.monotonic() > until:
                raise CannotRunError(f'{self.name} does not listen')
            time.sleep(0.05)

    def send(self, number):
        """Send a signal."""
        self.fleet.record(f'{self.name} gets {signal.Signals(number).name}')
        self.handle.send_signal(number)

    def wait_end(self, seconds=15):
        """Wait for the process to end."""
        self.handle.wait(seconds)

    def restart(self, number=signal.SIGKILL):
        """Stop the process by a signal and start it again."""
        self.send(number)
        self.wait_end()
        self.start()

    def wipe(self):
        """Empty the disk of a process that has ended."""
        shutil.rmtree(self.folder, ignore_errors=True)


class Fleet:
    """Entry hosts, store hosts, the platform's store, and a record."""

    def __init__(self, record_path, fronts=3, stores=3, memory=(150, 170)):
        self.started = time.monotonic()
        self.record_file = open(record_path, 'w', encoding='utf-8')
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        self.commands = {}
        for role in deploy['roles'].values():
            self.commands[role['on']] = shlex.split(role['run'])
        if not (ROOT / 'target' / 'deps' / 'carobfork').exists():
            raise CannotRunError('the build of the deploy file is missing')
        self.platform = standins.PlatformStore()
        self.platform.put('config', 'main', configuration())
        self.fronts = []
        self.stores = []
        self.memory = memory
        ports = [standins.free_port() for _ in range(stores)]
        self.seeds = ', '.join(f'"{standins.IP}:{port}"' for port in ports[:3])
        for number, port in enumerate(ports):
            self.stores.append(self.add_store(number, port))
        for number in range(fronts):
            self.fronts.append(self.add_front(number))

    def __enter__(self):
        return self

    def __exit__(self, *failure):
        for host in (*self.fronts, *self.stores):
            if host.handle is not None and host.handle.poll() is None:
                host.handle.send_signal(signal.SIGCONT)
                host.handle.kill()
                host.handle.wait()
        self.record_file.close()
        kept = os.environ.get('KEEP_LOGS')
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def record(self, text):
        """Write a line to the record."""
        seconds = time.monotonic() - self.started
        self.record_file.write(f'{seconds:8.3f} {text}\n')
        self.record_file.flush()

    def add_store(self, number, port=None, bootstrap=True):
        """Prepare a store host."""
        name = f'store-{number}'
        control = port or standins.free_port()
        first = standins.free_port()
        folder = self.folder / f'{name}.disk'
        text = SETTINGS.format(
            name=name, role='store', serves='["store","control"]',
            zone=ZONES[number % 3], first=first, last=first + 15,
            seeds=self.seeds, bootstrap=str(bootstrap).lower(), counted='true',
            folder=folder, listen=f'Control = "{standins.IP}:{control}"',
            share=0.717, memory=self.memory[1], files=8200, disk=360,
            platform=self.platform.address,
        )
        return Host(
            self, name, 'store', (standins.IP, control), text, folder
        )

    def add_front(self, number):
        """Prepare an entry host."""
        name = f'front-{number}'
        first = standins.free_port()
        ports = [standins.free_port() for _ in range(3)]
        listen = '\n'.join(
            f'{what} = "{standins.IP}:{port}"'
            for what, port in zip(('Front', 'Ready', 'Directory'), ports)
        )
        text = SETTINGS.format(
            name=name, role='front', serves='["front","directory"]',
            zone=ZONES[number % 3], first=first, last=first + 15,
            seeds=self.seeds, bootstrap='true', counted='false',
            folder='', listen=listen, share=0.537, memory=self.memory[0],
            files=4100, disk=0, platform=self.platform.address,
        )
        host = Host(
            self, name, 'front', (standins.IP, ports[0]), text,
            self.folder / name,
        )
        host.ready = (standins.IP, ports[1])
        return host

    def start(self):
        """Start all processes and wait until the entry hosts are ready."""
        for host in (*self.stores, *self.fronts):
            host.start(wait=False)
        for host in (*self.stores, *self.fronts):
            host.wait_listening()
        self.wait_ready()
        self.record('all entry hosts are ready')

    def wait_ready(self, seconds=25):
        """Wait until the group is whole and all entry hosts are ready."""
        until = time.monotonic() + seconds
        while not (self.is_settled() and all(map(is_ready, self.fronts))):
            if time.monotonic() > until:
                raise CannotRunError('the fleet does not become ready')
            time.sleep(0.1)

    def is_settled(self):
        """Whether three store hosts are members and none joins."""
        stored = self.platform.get('carobfork-storage', 'main')
        if stored is None:
            return False
        group = stored['Spec']
        return len(group['members']) == 3 and not group['following']

    def call(self, front, method, path, fields=None, body=b'', **options):
        """Send a client attempt to an entry host and record it."""
        answer = standins.call(
            front.address, method, path, HOST, fields, body, **options
        )
        answer.front = front.name
        return answer

    def log_answer(self, what, answer):
        """Record what a client was answered."""
        self.record(
            f'{what}: attempt {answer.attempt} at {answer.front}'
            f' -> {answer.status}'
            f'{" whole" if answer.is_whole else " not whole"},'
            f' {len(answer.events)} events'
            f' {answer.fields.get("retry-after", "")} {answer.error}'
            + (f' {answer.body[:120]!r}' if answer.status >= 400 else '')
        )


def is_ready(front):
    """Whether an entry host says that it is ready."""
    try:
        with socket.create_connection(front.ready, timeout=1) as sock:
            sock.settimeout(1)
            sock.sendall(b'GET /ready HTTP/1.1\r\nHost: x\r\n'
                         b'Connection: close\r\n\r\n')
            return b' 200 ' in sock.recv(200).split(b'\r\n')[0] + b' '
    except OSError:
        return False


def main(case):
    """Run a case and exit as the issue says.

    :param case: returns whether the rule was broken; called with the path of
        the record and whether there is trouble.
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get('TROUBLE') != '0'
    try:
        broken = case(folder / 'record.txt', trouble)
    except CannotRunError as error:
        print(f'could not run: {error}')
        sys.exit(2)
    print('the rule was broken' if broken else 'the rule held')
    sys.exit(1 if broken else 0)
