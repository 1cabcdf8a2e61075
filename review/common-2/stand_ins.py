"""Stand-ins for the platform, workers and clients, and a small deployment.

Standard library only. The system's own programs are started as separate
processes with the commands of deploy/system.toml; everything listens on
127.0.0.1. The behaviour follows PROTOCOL.md and DEPLOY.md.
"""

import asyncio
import atexit
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import uuid

ROOT = pathlib.Path(__file__).resolve().parents[2]
IP = '127.0.0.1'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
STRIDE = 14
LONGEST_S = 116
HOST = 'ficu95.example'
_given = set()


class CannotRun(Exception):
    """The case can't be played; the exit code is 2."""


def free_ports(count):
    """Return a run of neighbouring free ports below the ephemeral range."""
    start = 11_000 + (os.getpid() * 37) % 15_000
    for first in range(start, start + 5000, count + 1):
        ports = range(first, first + count)
        if _given.intersection(ports):
            continue
        held = []
        try:
            for port in ports:
                sock = socket.socket()
                held.append(sock)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind((IP, port))
        except OSError:
            continue
        finally:
            for sock in held:
                sock.close()
        _given.update(ports)
        return list(ports)
    raise CannotRun('no free ports')


class Record:
    """Lines of what was sent, answered and run, with seconds since start."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / 'record.txt'
        self._start = time.monotonic()
        self._file = self.path.open('w')
        self.note('TROUBLE=%d' % TROUBLE)

    def now(self):
        return time.monotonic() - self._start

    def note(self, text):
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()


async def read_head(reader):
    raw = await reader.readuntil(b'\r\n\r\n')
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_end=False):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = bytearray()
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            if not size:
                await reader.readline()
                return bytes(body)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    return await reader.read() if until_end else b''


class Platform:
    """The platform's metadata store: lists, watches, conditional writes."""

    def __init__(self, record):
        self.record = record
        self.objects = {}
        self.history = []
        self.revision = 7
        self.changed = asyncio.Event()
        self.ports = free_ports(1)

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, IP, self.ports[0]
        )

    def put(self, kind, name, spec):
        """Write as the operator or a worker does; the return acknowledges."""
        known = self.objects.get((kind, name))
        return self._write(kind, name, spec, known and known['Status'])

    def remove(self, kind, name):
        found = self.objects.pop((kind, name))
        self.revision += 1
        self._log(kind, True, found)

    def _write(self, kind, name, spec, status):
        known = self.objects.get((kind, name))
        if known and known['Spec'] == spec and known['Status'] == status:
            return known
        self.revision += 1
        created = known['Metadata']['Created'] if known else self.revision
        meta = {
            'Name': name, 'Rev': self.revision, 'Created': created,
            'Finalizers': [], 'Deleting': False,
        }
        stored = {'Metadata': meta, 'Spec': spec, 'Status': status}
        self.objects[(kind, name)] = stored
        self._log(kind, False, stored)
        return stored

    def _log(self, kind, removed, stored):
        self.history.append((self.revision, kind, removed, stored))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(' ')
                status, answer = await self._answer(method, target, body)
                text = json.dumps(answer).encode()
                writer.write(
                    f'HTTP/1.1 {status} S\r\nContent-Type: application/json'
                    f'\r\nContent-Length: {len(text)}\r\n\r\n'.encode() + text
                )
                await writer.drain()
                if headers.get('connection', '').lower() == 'close':
                    break
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        path, _, query = target.partition('?')
        fields = dict(p.partition('=')[::2] for p in query.split('&') if p)
        parts = path.strip('/').split('/')[1:]
        kind = parts[0]
        if method == 'GET' and len(parts) == 1:
            if 'Watch' in fields:
                return await self._watch(kind, fields)
            after = fields.get('after', '')
            found = sorted(
                n for k, n in self.objects if k == kind and n > after
            )
            return 200, {
                'items': [self.objects[(kind, n)] for n in found[:500]],
                'MorePages': len(found) > 500,
                'CurrentRev': self.revision,
            }
        if method == 'GET':
            found = self.objects.get((kind, parts[1]))
            return (200, found) if found else (404, {})
        if method == 'POST':
            given = json.loads(body)
            name = given['Metadata']['Name']
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            return 201, self._write(kind, name, given.get('Spec'), None)
        known = self.objects.get((kind, parts[1]))
        if known is None:
            return 404, {}
        given = json.loads(body) if body else {}
        expected = given.get('Metadata', {}).get('Rev')
        if expected is not None and expected != known['Metadata']['Rev']:
            return 409, known
        if method == 'PUT' and parts[2:] == ['status']:
            return 200, self._write(
                kind, parts[1], known['Spec'], given['Status']
            )
        if method == 'PUT':
            return 200, self._write(
                kind, parts[1], given['Spec'], known['Status']
            )
        self.remove(kind, parts[1])
        return 200, known

    async def _watch(self, kind, fields):
        since = int(fields['Watch'])
        until = time.monotonic() + int(fields.get('WaitMs', 0)) / 1000
        while True:
            events = [
                {'Object': stored, 'Removed': removed}
                for revision, known, removed, stored in self.history
                if known == kind and revision > since
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'CurrentRev': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Proxy:
    """Passes connections on; open ones may go silent for good."""

    def __init__(self, target_port):
        self.target = target_port
        self.port = free_ports(1)[0]
        self.open = []
        self.cut = False

    async def start(self):
        self.server = await asyncio.start_server(self._serve, IP, self.port)

    def silence_open(self):
        """Drop all that comes on open connections, in both directions."""
        for state in self.open:
            state['silent'] = True
        return len(self.open)

    def cut_all(self):
        """Reset open connections and, from now on, new ones."""
        self.cut = True
        for state in list(self.open):
            for writer in state['writers']:
                writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.cut:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                IP, self.target
            )
        except OSError:
            writer.transport.abort()
            return
        state = {'silent': False, 'writers': (writer, far_writer)}
        self.open.append(state)
        await asyncio.gather(
            self._pump(reader, far_writer, state),
            self._pump(far_reader, writer, state),
        )
        self.open.remove(state)

    async def _pump(self, reader, writer, state):
        try:
            while piece := await reader.read(65536):
                if not state['silent']:
                    writer.write(piece)
                    await writer.drain()
        except OSError:
            pass
        if not state['silent']:
            writer.close()


class Worker:
    """A worker: runs requests, streams events, registers itself."""

    EVENTS = 4

    def __init__(self, record, platform, name, service, zone='a', slots=8):
        self.record = record
        self.platform = platform
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.port = free_ports(1)[0]
        self.runs = []
        self.running = 0
        self.keep_bodies = True
        self.event_gap_s = 0.005
        self.work_s = 0.02
        self.born = int(time.time() * 1000)
        self.deadly = None
        self.down_s = 2.0
        self.crashes = []
        self.writers = set()

    async def crash(self):
        """End at once; be back after a while as a new process."""
        self.crashes.append(self.record.now())
        self.record.note(f'crash of {self.name}')
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(self.down_s)
        self.born = int(time.time() * 1000)
        await self.start()
        self.record.note(f'{self.name} is back, born {self.born}')

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, IP, self.port, limit=2**16
        )
        self.register()

    def register(self, state='ready'):
        self.platform.put('servers', self.name, {
            'Service': self.service, 'Address': f'{IP}:{self.port}',
            'Zone': self.zone, 'Version': 'v1', 'Slots': self.slots,
            'State': state, 'ColdLeftMs': 0, 'Seq': 1, 'born': self.born,
        })

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if not await self._answer(first, headers, body, writer):
                    break
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _respond(self, writer, status, headers, body=b''):
        lines = [f'HTTP/1.1 {status} S']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        lines += [f'Content-Length: {len(body)}', '', '']
        writer.write('\r\n'.join(lines).encode() + body)

    async def _answer(self, first, headers, body, writer):
        method, path, _ = first.split(' ')
        load = f'{self.running},0,{self.slots}'
        if path == '/health':
            self._respond(
                writer, 200, {'X-Instance-Id': self.name, 'X-Server-Load': load}
            )
            return True
        if path == '/report':
            text = json.dumps({'Busy': False, 'born': self.born}).encode()
            self._respond(writer, 200, {'X-Instance-Id': self.name}, text)
            return True
        attempt = headers.get('x-attempt-id', '')
        if headers.get('x-expect-instance', self.name) != self.name:
            self._respond(writer, 421, {'X-Instance-Id': self.name})
            return True
        common = {
            'X-Attempt-Id': attempt,
            'X-Response-Stamp': f'{self.name}.{attempt}',
            'X-Server-Load': load,
        }
        run = {
            'at': self.record.now(), 'attempt': attempt, 'path': path,
            'method': method, 'headers': headers, 'worker': self.name,
            'body': body if self.keep_bodies else len(body),
        }
        self.runs.append(run)
        size = len(body)
        self.record.note(
            f'run {self.name} ({self.service}) {method} {path} {attempt}'
            f' body {size} B'
        )
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
            if 'stream' in path:
                is_deadly = self.deadly is not None and body == self.deadly
                await self._stream(writer, headers, common, is_deadly)
            else:
                text = f'{self.service} {path}'.encode()
                self._respond(writer, 200, common, text)
            await writer.drain()
        finally:
            self.running -= 1
        return True

    async def _stream(self, writer, headers, common, is_deadly=False):
        lines = ['HTTP/1.1 200 OK']
        lines += [f'{name}: {value}' for name, value in common.items()]
        lines += [
            'Content-Type: text/event-stream', 'Transfer-Encoding: chunked',
            '', '',
        ]
        writer.write('\r\n'.join(lines).encode())
        first = int(headers.get('last-event-id') or 0) + 1
        for number in range(first, self.EVENTS + 1):
            event = f'id: {number}\ndata: word{number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_gap_s)
            if is_deadly:
                asyncio.ensure_future(self.crash())
                await asyncio.sleep(self.down_s)
        writer.write(b'0\r\n\r\n')


class Answer:
    """What a client got."""

    def __init__(self, status, headers, body, whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole

    @property
    def events(self):
        return self.body.count(b'\n\n')


class Machine:
    """One process of the system on one machine."""

    def __init__(self, fleet, name, role, zone, ports, platform_port):
        self.fleet = fleet
        self.name = name
        self.role = role
        self.zone = zone
        self.ports = ports
        self.platform_port = platform_port
        self.process = None
        self.ended = 0
        self.peak_mb = 0.0
        self.folder = fleet.folder / name
        self.folder.mkdir(parents=True, exist_ok=True)

    @property
    def is_store(self):
        return self.role == 'store'

    @property
    def front_port(self):
        return self.ports[0]

    @property
    def control_port(self):
        return self.ports[3]

    def write_settings(self, bootstrap=True):
        fleet = self.fleet
        seeds = ', '.join(f'"{IP}:{port}"' for port in fleet.seeds)
        limits = {'front': (150, 4100), 'store': (170, 8200)}[self.role]
        listen = (
            f'Control = "{IP}:{self.control_port}"\n'
            if self.is_store
            else f'Front = "{IP}:{self.front_port}"\n'
            f'Ready = "{IP}:{self.ports[1]}"\n'
            f'Directory = "{IP}:{self.ports[2]}"\n'
        )
        text = f'''NodeName = "{self.name}"
Role = "{self.role}"
MachineClass = "{self.role}"
Serves = {json.dumps(["store", "control"] if self.is_store else ["front", "directory"])}
Ip = "{IP}"
Zone = "{self.zone}"
Region = "r"
PortRange = [{self.ports[4]}, {self.ports[5]}]
Seeds = [{seeds}]
Bootstrap = {str(bootstrap).lower()}
InTolerance = {str(self.is_store).lower()}
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","recover","agent","stream","engine","platform"]
'''
        if self.is_store:
            text += f'DataDir = "{self.folder}/data"\n'
        text += f'''[Zones]
a = "r"
b = "r"
c = "r"
[Listen]
{listen}[Limits]
CpuShare = 0.7
Cpus = 2
MemoryMb = {limits[0]}
MaxFds = {limits[1]}
LinkMbps = 1000.0
DiskMb = {360 if self.is_store else 0}
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
Address = "{IP}:{self.platform_port}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
'''
        self.memory_mb = limits[0]
        self.settings = self.folder / 'local.toml'
        self.settings.write_text(text)

    def start(self, bootstrap=True):
        self.write_settings(bootstrap)
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['CAROBFORK_SETTINGS'] = str(self.settings)
        with (self.folder / 'log').open('ab') as log:
            self.process = subprocess.Popen(
                self.fleet.commands[self.role].split(), cwd=ROOT, env=env,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                start_new_session=True,
            )
        self.started = time.monotonic()
        self.fleet.record.note(f'start {self.name} pid {self.process.pid}')

    def send(self, number):
        self.fleet.record.note(f'{signal.Signals(number).name} {self.name}')
        self.process.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.process.wait()

    def rss_mb(self):
        try:
            text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
        return 0.0


class Fleet:
    """Three stores, some fronts, workers of two services, the platform."""

    def __init__(self, folder, fronts=2, services=('agents', 'orders')):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.platform = Platform(self.record)
        self.proxies = {}
        self.workers = {}
        self.machines = {}
        self.services = services
        self._fronts = fronts
        atexit.register(self.close)
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.commands = {
            'front' if 'front' in role['serves'] else 'store': role['run']
            for role in deploy['roles'].values()
        }
        if not (ROOT / 'target/deps/carobfork').is_dir():
            raise CannotRun('target/deps is missing: run the build first')
        self.version = 0
        self.config = None

    @property
    def stores(self):
        return [m for m in self.machines.values() if m.is_store]

    @property
    def fronts(self):
        return [m for m in self.machines.values() if not m.is_store]

    def write_config(self, routes):
        self.version += 3
        services = [
            {
                'Name': 'agents', 'HealthPath': '/health', 'MaxConns': 130,
                'Protocol': 'h1', 'Tls': False,
                'Engine': {'Slots': 8, 'KvCapacity': 97943, 'Stride': STRIDE,
                           'Models': [{'Name': 'm'}]},
            },
        ] + [
            {'Name': name, 'HealthPath': '/health', 'MaxConns': 96,
             'Protocol': 'h1', 'Tls': False}
            for name in self.services if name != 'agents'
        ]
        spec = {
            'Version': self.version, 'Routes': routes, 'Services': services,
            'Limits': {
                'MaxHeaderBytes': 16384, 'MaxBodyBytes': 4194304,
                'HeaderTimeoutMs': 3000, 'IdleTimeoutMs': 15000,
            },
        }
        self.platform.put('config', 'main', spec)
        self.record.note(f'config version {self.version} acknowledged')
        return self.record.now()

    async def start(self, routes, workers=2):
        await self.platform.start()
        self.write_config(routes)
        for service in self.services:
            for number in range(workers):
                worker = Worker(
                    self.record, self.platform, f'w-{service}-{number}',
                    service, 'abc'[number % 3],
                )
                self.workers[worker.name] = worker
                await worker.start()
        plan = [(f'store-{z}', 'store', z) for z in 'abc']
        plan += [
            (f'front-{n}', 'front', 'abc'[n % 3]) for n in range(self._fronts)
        ]
        for name, role, zone in plan:
            proxy = Proxy(self.platform.ports[0])
            await proxy.start()
            self.proxies[name] = proxy
            self.machines[name] = Machine(
                self, name, role, zone, free_ports(6), proxy.port
            )
        self.seeds = [m.control_port for m in self.stores]
        for machine in self.machines.values():
            machine.start()
        await self.wait_ready(25)
        self.record.note('all fronts are ready')

    async def wait_ready(self, seconds, machines=None):
        until = time.monotonic() + seconds
        for machine in machines or self.fronts:
            while True:
                if time.monotonic() > until:
                    raise CannotRun(f'{machine.name} is not ready')
                if machine.process.poll() is not None:
                    raise CannotRun(f'{machine.name} has ended')
                try:
                    found = await self.request(
                        machine.ports[1], 'GET', '/ready', {}, quiet=True
                    )
                    if found.status == 200:
                        break
                except OSError:
                    pass
                await asyncio.sleep(0.1)
        while True:
            stored = self.platform.objects.get(('carobfork-storage', 'main'))
            if stored and len(stored['Spec']['members']) == 3 and not (
                stored['Spec']['following']
            ):
                return
            if time.monotonic() > until:
                raise CannotRun('the stores have not settled')
            await asyncio.sleep(0.1)

    async def request(
        self, port, method, path, headers, body=b'', timeout=8, quiet=False,
        attempt=None,
    ):
        """Send one request on a connection of its own."""
        attempt = attempt or uuid.uuid4().hex[:16]
        fields = {
            'Host': HOST, 'X-Attempt-Id': attempt, 'X-Deadline-Ms': '3000',
            'Connection': 'close', **headers,
        }
        if body:
            fields['Content-Length'] = str(len(body))
        head = f'{method} {path} HTTP/1.1\r\n' + ''.join(
            f'{name}: {value}\r\n' for name, value in fields.items()
        ) + '\r\n'
        if not quiet:
            self.record.note(
                f'send {attempt} {method} {path} to port {port}'
                f' body {len(body)} B'
                + ''.join(
                    f' {name}={headers[name]}' for name in headers
                    if name.startswith('X-')
                )
            )
        answer = Answer(0, {}, b'', False)
        writer = None
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(IP, port)
                writer.write(head.encode() + body)
                await writer.drain()
                first, answer.headers = await read_head(reader)
                answer.status = int(first.split(' ')[1])
                answer.body = await read_body(
                    reader, answer.headers, until_end=True
                )
                answer.whole = True
        except (OSError, EOFError, ValueError, TimeoutError) as error:
            if not quiet:
                self.record.note(f'broken {attempt} {error!r}')
            if quiet:
                raise OSError from error
        finally:
            if writer is not None:
                writer.close()
        answer.attempt = attempt
        if not quiet:
            self.record.note(
                f'answer {attempt} {answer.status} whole={answer.whole}'
                f' {len(answer.body)} B stamp='
                f'{answer.headers.get("x-response-stamp", "none")}'
            )
        return answer

    def close(self):
        """End all processes that were started; may be called again."""
        for machine in self.machines.values():
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        keep = os.environ.get('KEEP_LOGS')
        if keep and self.folder.is_dir():
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, **fields):
    """Return a route as the operator writes it."""
    return {
        'Name': name, 'Host': HOST, 'PathPrefix': prefix, 'Kind': kind,
        'TimeoutMs': 3000, 'GoalMs': 500, 'Priority': 0, 'Service': service,
        **fields,
    }


CHAT = route(
    'chat', '/chat/', 'stream', 'agents', Attempts=2, Retain=True,
    RetainS=60.0, Sticky=True, Resumable=False, GapTargetMs=150, Priority=2,
)
LOOK = route('look', '/look/', 'safe', 'orders', Attempts=2)
ORDER = route('order', '/order/', 'unsafe', 'orders', Attempts=1)
ROUTES = [CHAT, LOOK, ORDER]


def run(case, **options):
    """Play a case and exit with its verdict: 1 broken, 0 held, 2 not run.

    :param case: called with the fleet; returns the list of broken rules.
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    routes = options.pop('routes', ROUTES)
    workers = options.pop('workers', 2)

    async def play():
        # Tasks that are cancelled at the end are no news.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        fleet = Fleet(folder, **options)
        try:
            async with asyncio.timeout(LONGEST_S):
                await fleet.start(routes, workers)
                return fleet, await case(fleet)
        except (CannotRun, TimeoutError) as error:
            fleet.record.note(f'could not run: {error!r}')
            return fleet, None
        finally:
            fleet.close()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        fleet, broken = asyncio.run(play())
    except CannotRun as error:
        print(f'could not run: {error}')
        sys.exit(2)
    if broken is None:
        print('could not run, see record.txt')
        sys.exit(2)
    for line in broken:
        fleet.record.note(f'BROKEN {line}')
        print(f'BROKEN {line}')
    verdict = 'broken' if broken else 'held'
    fleet.record.note(f'verdict: the rule {verdict}')
    print(f'the rule {verdict}')
    sys.exit(1 if broken else 0)
