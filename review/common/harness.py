"""Starts a small deployment on loopback: the project's own processes, and
stand-ins for the platform's store, the workers and the clients.

Only the standard library is used, so nothing has to be installed.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse
import uuid

ROOT = pathlib.Path(__file__).resolve().parents[2]
IP = '127.0.0.1'
HOST = 'shop.example'
ZONES = ('bayangol', 'sukhbaatar', 'khan-uul')
AGENTS = 'agents'
ORDERS = 'orders'
STRIDE = 14
BEAT_MS = 1200
BOUNDS = {
    'SeedLagS': 3, 'ReuseAfterS': 2, 'ContactMs': 3000, 'AckMs': 4000,
    'CatchUpS': 4.4, 'DrainMs': 2000, 'GraceS': 8, 'LossSlackMs': 200,
    'ConfigMs': 2000, 'RollbackSlackMs': 250, 'SkewMaxMs': 5000,
    'RecoveryS': 12, 'PassMs': 120, 'RetryAfterS': 0, 'FinishS': 10,
    'SettleMs': 1000, 'ttl_max_s': 5,
}
SETTINGS = """
NodeName = "{name}"
Role = "{role}"
MachineClass = "{kind}"
Serves = {serves}
Ip = "127.0.0.1"
Zone = "{zone}"
Region = "ulaanbaatar"
PortRange = [{first},{last}]
Seeds = [{seeds}]
Bootstrap = true
InTolerance = {counted}
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","recover","agent","stream","engine","platform"]
{data}
[Zones]
bayangol = "ulaanbaatar"
sukhbaatar = "ulaanbaatar"
khan-uul = "ulaanbaatar"
[Listen]
{listen}
[Limits]
CpuShare = 0.537
Cpus = 2
MemoryMb = 150
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = {disk}
[Tolerate]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
{bounds}
[Provider]
Address = "{platform}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
"""


def trouble():
    """Whether the disruption is to be made."""
    return os.environ.get('TROUBLE', '1') != '0'


def new_id():
    return uuid.uuid4().hex[:16]


_taken = set()


def free_port(count=1):
    """The first of some free ports in a row, none of them given out before."""
    while True:
        first = random.randrange(20000, 31000)
        ports = range(first, first + count)
        if _taken.intersection(ports):
            continue
        with contextlib.ExitStack() as stack:
            try:
                for port in ports:
                    probe = stack.enter_context(socket.socket())
                    probe.bind((IP, port))
            except OSError:
                continue
        _taken.update(ports)
        return first


class Record:
    """What was sent, answered and run, line by line."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / 'record.txt', 'w')
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def __call__(self, text, echo=False):
        line = f'{self.now():8.3f} {text}'
        self._file.write(line + '\n')
        self._file.flush()
        if echo:
            print(line, flush=True)


# --- HTTP/1.1 over asyncio streams ------------------------------------------


async def read_head(reader):
    """First line and headers; lines may end with CRLF or LF (RFC 9112, 2.2)."""
    line = (await reader.readline()).rstrip(b'\r\n')
    while line == b'':
        if reader.at_eof():
            return None
        line = (await reader.readline()).rstrip(b'\r\n')
    fields = {}
    while True:
        raw = await reader.readline()
        if not raw:
            return None
        text = raw.rstrip(b'\r\n').decode('latin-1')
        if not text:
            return line.decode('latin-1'), fields
        name, _, value = text.partition(':')
        fields[name.strip().lower()] = value.strip()


async def read_body(reader, fields, on_piece=None, is_answer=True):
    """The body and whether it is whole."""
    body = bytearray()

    def add(piece):
        body.extend(piece)
        if on_piece:
            on_piece(piece)

    if 'chunked' in fields.get('transfer-encoding', '').lower():
        while True:
            line = await reader.readline()
            if not line.endswith(b'\n'):
                return bytes(body), False
            size = int(line.split(b';')[0].strip() or b'0', 16)
            try:
                if size:
                    add(await reader.readexactly(size))
                await reader.readexactly(2)
            except asyncio.IncompleteReadError:
                return bytes(body), False
            if not size:
                return bytes(body), True
    if 'content-length' in fields:
        try:
            add(await reader.readexactly(int(fields['content-length'])))
        except asyncio.IncompleteReadError as error:
            add(error.partial)
            return bytes(body), False
        return bytes(body), True
    if not is_answer:
        return b'', True
    while piece := await reader.read(65536):
        add(piece)
    return bytes(body), True


def head(first, fields):
    lines = [first, *(f'{name}: {value}' for name, value in fields), '', '']
    return '\r\n'.join(lines).encode('latin-1')


class Answer:
    """What a client got for one request."""

    def __init__(self, attempt):
        self.attempt = attempt
        self.status = 0
        self.fields = {}
        self.body = b''
        self.whole = False
        self.error = ''
        self.sent_s = self.ended_s = self.first_s = 0.0


async def send(address, path, method='GET', headers=(), body=b'', attempt='',
               deadline_ms=3000, wait_s=None, on_piece=None, keep=None):
    """Send one request on a connection of its own (or on `keep`)."""
    answer = Answer(attempt or new_id())
    fields = [
        ('Host', HOST), ('X-Attempt-Id', answer.attempt),
        ('X-Deadline-Ms', str(deadline_ms)), *headers,
    ]
    if body or method != 'GET':
        fields.append(('Content-Length', str(len(body))))
    raw = head(f'{method} {path} HTTP/1.1', fields) + body
    return await send_raw(address, raw, answer,
                          wait_s or deadline_ms / 1000, on_piece, keep)


async def send_raw(address, raw, answer, wait_s, on_piece=None, keep=None):
    answer.sent_s = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            if keep:
                reader, writer = keep
            else:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(*address, limit=1 << 20), 1)
            writer.write(raw)
            await writer.drain()
            found = await read_head(reader)
            if found is None:
                answer.error = 'closed'
            else:
                answer.first_s = time.monotonic()
                answer.status = int(found[0].split(' ')[1])
                answer.fields = found[1]
                answer.body, answer.whole = await read_body(
                    reader, found[1], on_piece)
    except TimeoutError:
        answer.error = 'timeout'
    except (OSError, ValueError) as error:
        answer.error = repr(error)
    finally:
        answer.ended_s = time.monotonic()
        if writer and not (keep and answer.whole):
            writer.close()
    return answer


async def get(address, path, wait_s=1.0):
    """Status and JSON (or text) of a call to an interface of the system."""
    answer = await send_raw(
        address, head(f'GET {path} HTTP/1.1', [('Host', 'x')]),
        Answer(''), wait_s)
    try:
        return answer.status, json.loads(answer.body)
    except ValueError:
        return answer.status, None


# --- the platform's store ------------------------------------------------------


class Store:
    """Objects by kind and name, with watches and conditional writes."""

    def __init__(self):
        self.objects = {}
        self.history = []
        self.revision = 7
        self.changed = asyncio.Event()
        self.down = False
        self.calls = 0
        self._writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, IP, 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec):
        """Write as the operator or a worker does; returns when it is done."""
        old = self.objects.get((kind, name))
        return self._write(kind, name, spec, old and old['Status'])

    def remove(self, kind, name):
        gone = self.objects.pop((kind, name), None)
        if gone:
            self.revision += 1
            meta = {**gone['Metadata'], 'Rev': self.revision}
            self._note(kind, True, {**gone, 'Metadata': meta})

    def set_down(self, down):
        """Refuse all calls with 503 (nothing is done) and cut the watches."""
        self.down = down
        if down:
            for writer in list(self._writers):
                writer.close()

    def _write(self, kind, name, spec, status):
        old = self.objects.get((kind, name))
        self.revision += 1
        made = old['Metadata']['Created'] if old else self.revision
        stored = {
            'Metadata': {'Name': name, 'Rev': self.revision, 'Created': made,
                         'Finalizers': [], 'Deleting': False},
            'Spec': spec, 'Status': status,
        }
        self.objects[kind, name] = stored
        self._note(kind, False, stored)
        return stored

    def _note(self, kind, removed, stored):
        self.history.append((self.revision, kind, removed, stored))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (found := await read_head(reader)) is not None:
                method, path, _ = found[0].split(' ', 2)
                body, _ = await read_body(reader, found[1], is_answer=False)
                self.calls += 1
                status, answer = 503, {'Error': 'down'}
                if not self.down:
                    status, answer = await self._answer(method, path, body)
                if self.down:
                    status, answer = 503, {'Error': 'down'}
                raw = json.dumps(answer).encode()
                writer.write(head(f'HTTP/1.1 {status} X', [
                    ('Content-Type', 'application/json'),
                    ('Content-Length', str(len(raw)))]) + raw)
                await writer.drain()
                if 'close' in found[1].get('connection', ''):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, method, path, body):
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(part) for part in url.path.split('/')[2:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ''
        await asyncio.sleep(0.004)
        if method == 'GET' and not name:
            if 'Watch' in query:
                return await self._watch(kind, query)
            names = sorted(known for of, known in self.objects if of == kind
                           and known > query.get('after', ''))
            return 200, {
                'items': [self.objects[kind, known] for known in names[:500]],
                'MorePages': len(names) > 500, 'CurrentRev': self.revision}
        known = self.objects.get((kind, name))
        if method == 'GET':
            return (200, known) if known else (404, {})
        fields = json.loads(body or b'{}')
        if method == 'POST':
            name = fields['Metadata']['Name']
            known = self.objects.get((kind, name))
            if known:
                return 409, known
            return 201, self._write(kind, name, fields.get('Spec'), None)
        if known is None:
            return 404, {}
        expected = (fields.get('Metadata') or {}).get('Rev') or query.get('Rev')
        if expected and int(expected) != known['Metadata']['Rev']:
            return 409, known
        if method == 'DELETE':
            self.remove(kind, name)
            return 200, known
        if parts[-1] == 'status' and len(parts) == 3:
            return 200, self._write(kind, name, known['Spec'], fields['Status'])
        return 200, self._write(kind, name, fields['Spec'], known['Status'])

    async def _watch(self, kind, query):
        since = int(query['Watch'])
        until = time.monotonic() + int(query.get('WaitMs', 0)) / 1000
        while True:
            events = [{'Object': stored, 'Removed': removed}
                      for revision, of, removed, stored in self.history
                      if of == kind and revision > since]
            left = until - time.monotonic()
            if events or left <= 0 or self.down:
                return 200, {'events': events, 'CurrentRev': self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self.changed.wait()


# --- workers ------------------------------------------------------------------


class Run:
    """One request that a worker began to work on."""

    def __init__(self, worker, method, path, fields, body):
        self.worker = worker.name
        self.version = worker.version
        self.method, self.path, self.fields = method, path, fields
        self.attempt = fields.get('x-attempt-id', '')
        self.body = body
        self.at_s = time.monotonic()


class Worker:
    """A sound worker: runs `slots` requests at once and queues a few more."""

    def __init__(self, fleet, name, service, version='1', slots=8, zone=0,
                 work_ms=30, events=5, gap_ms=20, queue=24):
        self.fleet, self.name, self.service = fleet, name, service
        self.version, self.slots, self.zone = version, slots, ZONES[zone % 3]
        self.work_ms, self.events, self.gap_ms = work_ms, events, gap_ms
        self.queue = queue
        self.runs, self.arrivals = [], []
        self.limit = None
        self.state, self.seq, self.port = 'ready', 0, 0
        self.born = int(time.time() * 1000)
        self.running = 0
        self.server, self.beats = None, None
        self.flood = None
        self._writers = set()

    async def start(self, register=True):
        self.server = await asyncio.start_server(
            self._serve, IP, self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self._slots = asyncio.Semaphore(self.slots)
        if register:
            self.register()
            self.beats = asyncio.create_task(self._beat())

    def entry(self):
        return {
            'Service': self.service, 'Address': f'{IP}:{self.port}',
            'Zone': self.zone, 'Version': self.version, 'Slots': self.slots,
            'State': self.state, 'ColdLeftMs': 0, 'Seq': self.seq,
            'born': self.born,
        }

    def register(self, **fields):
        self.seq += 1
        self.fleet.store.put('servers', self.name, {**self.entry(), **fields})

    async def _beat(self):
        while True:
            await asyncio.sleep(BEAT_MS / 1000)
            if not self.fleet.store.down:
                self.register()

    def crash(self):
        """End at once, as a process does that is killed: connections break."""
        if self.beats:
            self.beats.cancel()
        self.server.close()
        for writer in list(self._writers):
            with contextlib.suppress(Exception):
                writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (found := await read_head(reader)) is not None:
                method, path, _ = found[0].split(' ', 2)
                body, whole = await read_body(reader, found[1], is_answer=False)
                if not whole:
                    break
                if method == 'GET' and path == '/report':
                    self._report(writer)
                    continue
                await self._answer(writer, method, path, found[1], body)
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _report(self, writer):
        """What the worker says of itself; needs no slot."""
        raw = json.dumps({
            'Stage': 'both', 'Busy': False, 'Seq': self.seq, 'born': self.born,
            'Queued': max(0, self.running - self.slots), 'KvUsed': 0,
            'Running': min(self.running, self.slots), 'KvTotal': 97943,
            'Models': [], 'Handles': 0}).encode()
        writer.write(head('HTTP/1.1 200 OK', [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(raw)))]) + raw)

    def _refuse(self, writer, status, attempt):
        writer.write(head(f'HTTP/1.1 {status} Refused', [
            ('X-Not-Run', '1'), ('X-Attempt-Id', attempt),
            ('X-Instance-Id', self.name), *self._limit_fields(),
            ('Content-Length', '0')]))

    def _limit_fields(self):
        limit = self.limit() if callable(self.limit) else self.limit
        return [] if limit is None else [('Server-Limit', f'{limit:.2f}')]

    async def _answer(self, writer, method, path, fields, body):
        attempt = fields.get('x-attempt-id', '')
        if not attempt:
            self._refuse(writer, 400, '')
            return
        if fields.get('x-expect-instance', self.name) != self.name:
            self._refuse(writer, 421, attempt)
            return
        self.arrivals.append((time.monotonic(), attempt, self.limit is not None))
        if self.running >= self.slots + self.queue:
            self._refuse(writer, 503, attempt)
            return
        self.running += 1
        try:
            async with self._slots:
                self.runs.append(Run(self, method, path, fields, body))
                await self._run(writer, attempt, fields, path)
        finally:
            self.running -= 1

    async def _run(self, writer, attempt, fields, path):
        told = [
            ('X-Attempt-Id', attempt),
            ('X-Response-Stamp', f'{self.name}.{attempt}'),
            ('X-Server-Load', f'{min(self.running, self.slots)},'
             f'{max(0, self.running - self.slots)},{self.slots}'),
        ]
        if self.flood is not None and self.flood(path):
            await self.flood.send(writer, told)
            return
        if self.service == AGENTS:
            await asyncio.sleep(self.gap_ms / 1000)
            writer.write(head('HTTP/1.1 200 OK', [
                *told, *self._limit_fields(),
                ('Content-Type', 'text/event-stream'),
                ('Transfer-Encoding', 'chunked')]))
            first = int(fields.get('last-event-id') or 0) + 1
            for number in range(first, self.events + 1):
                event = f'id: {number}\ndata: {self.version}-{number}\n\n'.encode()
                writer.write(b'%x\r\n%b\r\n' % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self.gap_ms / 1000)
            writer.write(b'0\r\n\r\n')
        else:
            await asyncio.sleep(self.work_ms / 1000)
            answer = f'{self.name} ran {attempt}'.encode()
            writer.write(head('HTTP/1.1 200 OK', [
                *told, *self._limit_fields(),
                ('Content-Length', str(len(answer)))]) + answer)
        await writer.drain()


# --- the deployment ---------------------------------------------------------------


def route(name, prefix, kind, service, **fields):
    return {'Name': name, 'Host': HOST, 'PathPrefix': prefix, 'Kind': kind,
            'Service': service, 'TimeoutMs': 3000, 'GoalMs': 500,
            'Priority': 2, 'Attempts': 2, **fields}


def configuration(version=101, **changes):
    spec = {
        'Version': version,
        'Routes': [
            route('quote', '/quote/', 'stream', AGENTS, Resumable=True,
                  Priority=0, RetainS=60, GapTargetMs=150, Sticky=True),
            route('measure', '/measure/', 'stream', AGENTS, Retain=True,
                  RetainS=60, GapTargetMs=150, Sticky=True),
            route('look', '/look/', 'safe', ORDERS, TimeoutMs=1500),
            route('order', '/order/', 'unsafe', ORDERS, Attempts=1,
                  TimeoutMs=6000),
            route('deposit', '/deposit/', 'unsafe', ORDERS, Attempts=1,
                  TimeoutMs=1500),
        ],
        'Services': [
            {'Name': AGENTS, 'HealthPath': '/health', 'MaxConns': 130,
             'Engine': {'Slots': 8, 'KvCapacity': 97943, 'Stride': STRIDE}},
            {'Name': ORDERS, 'HealthPath': '/health', 'MaxConns': 96},
        ],
        'Limits': {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 4194304,
                   'HeaderTimeoutMs': 3000, 'IdleTimeoutMs': 15000},
    }
    return {**spec, **changes}


class Process:
    """One of the project's processes, started by the deploy file's command."""

    def __init__(self, fleet, name, role, settings):
        self.name, self.role = name, role
        self.folder = fleet.folder
        self.path = fleet.folder / f'{name}.toml'
        self.path.write_text(settings)
        self.handle = None

    def start(self):
        # Words of `run` in deploy/system.toml; target/deps is on Python's path.
        with open(self.folder / f'{self.name}.log', 'ab') as log:
            self.handle = subprocess.Popen(
                ['python3', '-m', 'carobfork.roles', self.role], cwd=ROOT,
                env={'PATH': os.environ['PATH'], 'HOME': str(self.folder),
                     'LANG': 'C.UTF-8', 'PYTHONPATH': os.environ.get(
                         'DEPS', str(ROOT / 'target/deps')),
                     'PYTHONDONTWRITEBYTECODE': '1',
                     'CAROBFORK_SETTINGS': str(self.path)},
                stdout=log, stderr=log)

    def send(self, number):
        if self.handle.poll() is None:
            self.handle.send_signal(number)

    def end(self):
        if self.handle and self.handle.poll() is None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self.handle.wait()

    def log(self):
        return (self.folder / f'{self.name}.log').read_text(errors='replace')


class CannotRun(Exception):
    """The case could not be run."""


class Fleet:
    """All processes and stand-ins of a small deployment."""

    def __init__(self, record, fronts=6, stores=3):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='case-'))
        self.store = Store()
        self.fronts, self.stores, self.workers = {}, {}, {}
        self.addresses = []
        self.front_at, self.ready_at, self.directory_at = {}, {}, {}
        self._counts = fronts, stores

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *failure):
        for process in (*self.fronts.values(), *self.stores.values()):
            process.end()
        if os.environ.get('KEEP_LOGS'):
            shutil.copytree(self.folder, os.environ['KEEP_LOGS'],
                            dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def _start(self):
        await self.store.start()
        self.store.put('config', 'main', configuration())
        fronts, stores = self._counts
        controls = [free_port() for _ in range(stores)]
        seeds = ','.join(f'"{IP}:{port}"' for port in controls[:3])
        for number, control in enumerate(controls):
            self._add('store', number, seeds, {'Control': control})
        for number in range(fronts):
            listen = {name: free_port() for name in ('Front', 'Ready', 'Directory')}
            name = self._add('front', number, seeds, listen)
            self.front_at[name] = (IP, listen['Front'])
            self.ready_at[name] = (IP, listen['Ready'])
            self.directory_at[name] = (IP, listen['Directory'])
        for process in (*self.stores.values(), *self.fronts.values()):
            process.start()

    def _add(self, kind, number, seeds, listen):
        name = f'{kind}-{ZONES[number % 3]}-{number}'
        ports = free_port(4)
        data = f'DataDir = "{self.folder / (name + ".disk")}"'
        settings = SETTINGS.format(
            name=name, role='entry' if kind == 'front' else 'keeper', kind=kind,
            serves='["front","directory"]' if kind == 'front'
            else '["store","control"]',
            zone=ZONES[number % 3], first=ports, last=ports + 3, seeds=seeds,
            counted=str(kind == 'store').lower(),
            data=data if kind == 'store' else '',
            listen='\n'.join(f'{key} = "{IP}:{port}"'
                             for key, port in listen.items()),
            disk=360 if kind == 'store' else 0,
            bounds='\n'.join(f'{key} = {value}' for key, value in BOUNDS.items()),
            platform=f'{IP}:{self.store.port}')
        group = self.fronts if kind == 'front' else self.stores
        group[name] = Process(self, name, kind, settings)
        return name

    async def add_workers(self, service, count, **options):
        for number in range(count):
            name = f'i-{service}-{number}'
            worker = Worker(self, name, service, zone=number, **options)
            await worker.start()
            self.workers[name] = worker

    async def ready(self):
        """How many entry hosts answer GET /ready with 200."""
        found = await asyncio.gather(
            *(get(address, '/ready') for address in self.ready_at.values()))
        return sum(status == 200 for status, _ in found)

    async def settle(self, wait_s=30):
        """Wait until all entry hosts are ready and all store hosts joined."""
        until = time.monotonic() + wait_s
        while time.monotonic() < until:
            group = self.store.objects.get(('carobfork-storage', 'main'))
            spec = group['Spec'] if group else {}
            if (len(spec.get('members', ())) == len(self.stores)
                    and not spec.get('following')
                    and await self.ready() == len(self.fronts)):
                # ContactMs without disruption.
                await asyncio.sleep(BOUNDS['ContactMs'] / 1000 + 0.5)
                self.addresses = await self.resolve()
                if len(self.addresses) == len(self.fronts):
                    return
            await asyncio.sleep(0.2)
        for name, address in self.ready_at.items():
            self.record(f'{name}: {await get(address, "/ready")}')
        self.record(f'group: {spec}')
        raise CannotRun('the deployment did not get ready')

    async def resolve(self, zone=ZONES[0]):
        """Ask up to three directories where to connect, as clients do."""
        asked = random.sample(list(self.directory_at.values()), 3)
        for address in asked:
            status, found = await get(
                address, f'/resolve?Name={HOST}&Region=ulaanbaatar&Zone={zone}')
            if status == 200 and found and found.get('Addresses'):
                return [(ip, int(port)) for ip, _, port in
                        (text.rpartition(':') for text in found['Addresses'])]
        return []

    def runs(self):
        return [run for worker in self.workers.values() for run in worker.runs]


def main(case, folder):
    """Run a case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(folder)
    # Whoever ends this process also ends what it has started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(asyncio.wait_for(case(record), 115))
    except (CannotRun, TimeoutError, OSError) as error:
        record(f'could not run: {error!r}', echo=True)
        return 2
    record('RULE BROKEN' if broken else 'rule held', echo=True)
    return 1 if broken else 0
