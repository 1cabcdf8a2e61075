"""Crowds of callers that send more than a host has memory for.

Guards against callers that the operators don't control: their bodies must not
end or hang an entry host, whatever they send, and other callers get answers
meanwhile. The crowds and the bounds don't depend on the machine's speed.
"""

import contextlib
import itertools
import pathlib
import tempfile
import unittest

import gevent
from gevent import socket

from carobfork.gateway import framing
from carobfork.state import bundles
from carobfork_standins import lab_processes
from tests import (
    backends,
    configurations,
    object_store,
    plain_calls,
    scripted_servers,
)
from tests.soak import fleets, tenants

MEMORY_MB = 128
"""Memory limit in the settings of the host."""
MAX_DESCRIPTORS = 320
"""Descriptor limit in the settings of the host."""
BODY_BYTES = 4_194_304
"""Longest legal body, in the configuration."""
CROWD = 64
"""Callers with bodies; together they send twice the host's memory."""
CONNECTIONS = 400
"""Callers that only hold connections, more than the host has descriptors."""
SLOW_READERS = 192
"""Callers that don't read their answers."""
ANSWER_BYTES = 1_000_000
"""Length of an answer that isn't read; all of them exceed the memory."""
WHOLE_EVERY = 8
"""One caller in so many sends its body to the end."""
MISSING_BYTES = 16
"""What the other callers leave out at the end of their bodies."""
LARGE_BYTES = 65_536
"""Length of a large piece or chunk."""
PARTS = BODY_BYTES // LARGE_BYTES
FAR_PARTS = 16 * PARTS
"""Pieces of a body that is far over the limit."""
SETTLE_SECONDS = 4
"""How long a crowd is given to send; most stay open after that."""
LARGE_ATTEMPT = 'large'
PAUSE_SECONDS = 1.5
"""How long a caller gives the host to answer before the check."""
IDLE_HEAD = b'POST /look/1 HTTP/1.1\r\n'
SMALL_MEMORY_MB = 88
"""Memory limit of a small machine."""
MANY_DESCRIPTORS = 4100
"""Descriptor limit of a machine that has many for its memory."""
LARGE_CROWD = 400
"""Callers that find a descriptor each."""
ENDPOINT_CROWD = 100
"""Callers of an endpoint, more than it accepts."""
FRAME_BYTES = 8_000_000
"""Length of a legal message between hosts."""
EXTENDED_CHUNKS = b'1;%b\r\na\r\n' % bytes(200).replace(b'\0', b'x') * 300
ENDPOINT_REQUESTS = b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n' * 100_000
PIPELINED = 20_000
"""Requests that a caller sends without reading the answers."""
_LIMITS = f"""
[Limits]
MemoryMb = {MEMORY_MB}
MaxFds = {MAX_DESCRIPTORS}
"""
_SMALL_LIMITS = f"""
[Limits]
MemoryMb = {SMALL_MEMORY_MB}
MaxFds = {MANY_DESCRIPTORS}
"""
CALLER_KEY = {'X-Api-Key': tenants.key(tenants.KEPT)}  # noqa: WPS407
_KB = 1024
_SAMPLE_SECONDS = 0.02


class Host:
    """An entry host's process and what stands around it."""

    def __init__(self, folder, limits=_LIMITS):
        """Prepare a host with its logs and settings in a folder."""
        self.address = (fleets.IP, configurations.free_port())
        self.ready_address = (fleets.IP, configurations.free_port())
        self.directory_address = (fleets.IP, configurations.free_port())
        self._limits = limits
        self._folder = pathlib.Path(folder)
        self._stack = contextlib.ExitStack()

    def __enter__(self):
        """Start the platform's store, a backend server and the host."""
        platform = (fleets.IP, configurations.free_port())
        store = object_store.ObjectStoreApplication()
        self._stack.callback(object_store.serve(store, platform).stop, 0)
        self.store = store
        spec = configurations.configuration(MaxBodyBytes=BODY_BYTES)
        store.put('config', 'main', spec)
        self._add_backend(store)
        self._process = lab_processes.LabProcess(
            'front',
            ['carobfork.roles', 'front'],
            bundles.Address(*self.address),
            self._folder / 'front.log',
            variables={'CAROBFORK_SETTINGS': str(self._settings(platform[1]))},
        )
        self._process.start()
        self._stack.callback(self._process.handle.wait)
        self._stack.callback(self._process.handle.kill)
        addresses = (self.address, self.ready_address, self.directory_address)
        self.meter = self._stack.enter_context(
            Meter(self._process.handle, [port for _, port in addresses])
        )
        return self

    def __exit__(self, *failure):
        """End what was started."""
        self._stack.close()

    def is_alive(self):
        """Tell whether the process still runs."""
        return self._process.handle.poll() is None

    def _add_backend(self, store):
        address = (fleets.IP, configurations.free_port())
        application = backends.BackendApplication('t0')
        self._stack.callback(backends.serve(application, address).stop, 0)
        entry = {
            'Service': configurations.TOOLS,
            'Address': f'{address[0]}:{address[1]}',
            'Zone': 'a',
            'Slots': 8,
            'State': 'ready',
            'born': application.started_ms,
            'Version': application.version,
        }
        store.put('servers', 't0', entry)

    def _settings(self, platform_port):
        path = self._folder / 'front.toml'
        text = fleets.SETTINGS.format(
            name='front',
            zone='a',
            port=configurations.free_port(),
            seeds='',
            folder='',
            front=self.address[1],
            ready=self.ready_address[1],
            control=configurations.free_port(),
            directory=self.directory_address[1],
            platform=platform_port,
        )
        path.write_text(text + self._limits)
        return path


class Meter:
    """The most memory and descriptors that a process has used.

    Bytes at its connections that it or its peers have not read count towards
    the memory.
    """

    def __init__(self, handle, ports):
        """Prepare to measure a process that listens on ports."""
        self.peak_bytes = 0
        self.peak_descriptors = 0
        self._handle = handle
        self._ports = ports

    def __enter__(self):
        """Begin to measure."""
        self._sampler = gevent.spawn(self._sample)
        return self

    def __exit__(self, *failure):
        """Measure no more."""
        self._sampler.kill()

    def _sample(self):
        folder = pathlib.Path('/proc', str(self._handle.pid))
        while self._handle.poll() is None:
            with contextlib.suppress(OSError):
                self._measure(folder)
            gevent.sleep(_SAMPLE_SECONDS)

    def _measure(self, folder):
        fields = _read_status(folder)
        peak_bytes = _to_bytes(fields['VmHWM'])
        now_bytes = _to_bytes(fields['VmRSS']) + _queued_bytes(*self._ports)
        self.peak_bytes = max(self.peak_bytes, peak_bytes, now_bytes)
        self.peak_descriptors = max(
            self.peak_descriptors, len(list((folder / 'fd').iterdir()))
        )


def _read_status(folder):
    """Return the fields of the kernel's table about a process."""
    lines = (folder / 'status').read_text().splitlines()
    return dict(line.split(':', 1) for line in lines)


def _to_bytes(size):
    """Return a size of the kernel's table, such as ``12 kB``, in bytes."""
    return int(size.split()[0]) * _KB


def _queued_bytes(*ports):
    """Return the bytes of local ports that one of both sides hasn't read."""
    rows = pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]
    fields = (row.split() for row in rows)
    names = tuple(f':{port:04X}' for port in ports)
    queues = [
        row[4].split(':')
        for row in fields
        if row[1].endswith(names) and row[3] != '0A'
    ]
    return sum(int(sent, 16) + int(received, 16) for sent, received in queues)


def request_head(*fields):
    """Return the head of a request with a body."""
    names = [
        ('Host', configurations.HOST),
        ('X-Attempt-Id', plain_calls.new_attempt()),
        ('X-Deadline-Ms', '3000'),
        *fields,
    ]
    return framing.encode_head('POST /look/1 HTTP/1.1', names)


def announced(length):
    """Return the head of a request with a body of a length."""
    return request_head(('Content-Length', str(length)))


def chunked():
    """Return the head of a request with a body in chunks."""
    return request_head(('Transfer-Encoding', 'chunked'))


def parts_of(head, piece, count, last=b''):
    """Return a head, a piece so many times, and what comes last."""
    return itertools.chain((head,), itertools.repeat(piece, count), (last,))


class CrowdCase(unittest.TestCase):
    """Cases with one entry host."""

    limits = _LIMITS
    memory_mb = MEMORY_MB
    max_descriptors = MAX_DESCRIPTORS

    def setUp(self):
        """Start a host."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.host = self.enterContext(Host(folder, self.limits))
        with gevent.Timeout(plain_calls.WAIT_SECONDS):
            while self.ask().status != 200:
                gevent.sleep(_SAMPLE_SECONDS)

    def ask(self, body=b'ordinary'):
        """Send one ordinary request."""
        return plain_calls.ask(
            self.host.address, '/look/1', method='POST', body=body
        )

    def crowd(self, pieces_of, members=CROWD, address=None, send=None):
        """Let callers send and stay open, and check the host meanwhile.

        :param pieces_of: makes what a caller sends, piece by piece; it is
            told whether the caller sends its request to the end.
        :param address: where they connect, by default as all callers do.
        :param send: sends the pieces, by default on one connection.
        """
        with open_crowd(
            address or self.host.address, pieces_of, members, send or _send
        ):
            answer = self.ask()
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.ask().status, 200)
        self.check_host()

    def check_host(self):
        """Check that the process lives, within its bounds."""
        self.assertTrue(self.host.is_alive())
        peak_mb = self.host.meter.peak_bytes / _KB / _KB
        descriptors = self.host.meter.peak_descriptors
        with self.subTest('bounds', peak_mb=peak_mb, descriptors=descriptors):
            self.assertLessEqual(peak_mb, self.memory_mb)
            self.assertLessEqual(descriptors, self.max_descriptors)


class CrowdsTest(CrowdCase):
    """Crowds at one entry host."""

    def test_whole_bodies(self):
        """Legal bodies at once, most of them stop just short of their end."""
        whole = bytes(BODY_BYTES)
        short = whole[MISSING_BYTES:]

        def pieces_of(is_whole):
            return [announced(BODY_BYTES), whole if is_whole else short]

        self.crowd(pieces_of)

    def test_piece_by_piece(self):
        """The same, piece by piece."""
        piece = bytes(LARGE_BYTES)
        short = piece[MISSING_BYTES:]

        def pieces_of(is_whole):
            last = piece if is_whole else short
            return parts_of(announced(BODY_BYTES), piece, PARTS - 1, last)

        self.crowd(pieces_of)

    def test_large_chunks(self):
        """The same, in large chunks."""
        self.check_chunks(framing.encode_chunk(bytes(LARGE_BYTES)))

    def test_tiny_chunks(self):
        """The same, in chunks of one byte."""
        tiny = itertools.repeat(framing.encode_chunk(b'a'), LARGE_BYTES)
        self.check_chunks(b''.join(tiny))

    def check_chunks(self, chunks):
        """Send chunks, most callers without the last one."""

        def pieces_of(is_whole):
            end = framing.LAST_CHUNK if is_whole else b''
            return parts_of(chunked(), chunks, PARTS, end)

        self.crowd(pieces_of)

    def test_announced_too_large(self):
        """Bodies far over the limit, announced."""
        head = announced(BODY_BYTES * FAR_PARTS // PARTS)
        piece = bytes(LARGE_BYTES)
        self.crowd(lambda _is_whole: parts_of(head, piece, FAR_PARTS))

    def test_just_sent_too_large(self):
        """Bodies far over the limit, in chunks."""
        chunk = framing.encode_chunk(bytes(LARGE_BYTES))
        self.crowd(lambda _is_whole: parts_of(chunked(), chunk, FAR_PARTS))

    def test_slow_readers(self):
        """Answers of legal size at once, which the callers don't read."""
        scripted = self.enterContext(scripted_servers.ScriptedServer())
        scripted.script = _answer_crowd
        entry = self.host.store.get('servers', 't0')['Spec']
        self.host.store.put(
            'servers',
            't0',
            {**entry, 'Address': scripted.address, 'Slots': 512, 'born': 1},
        )
        with gevent.Timeout(plain_calls.WAIT_SECONDS):
            while self.ask().body != b'whole':
                gevent.sleep(_SAMPLE_SECONDS)
        request = plain_calls.encode('/look/1', attempt=LARGE_ATTEMPT)

        def pieces_of(_is_whole):
            yield request
            gevent.sleep(PAUSE_SECONDS)

        self.crowd(pieces_of, members=SLOW_READERS)

    def test_open_connections(self):
        """More connections than descriptors, each inside a head."""
        self.crowd(lambda _is_whole: [IDLE_HEAD], members=CONNECTIONS)

    def test_calm(self):
        """A single request of the longest legal length is answered."""
        for _ in range(2):
            self.assertEqual(self.ask(bytes(BODY_BYTES)).status, 200)
        self.check_host()


class LargeCrowdsTest(CrowdCase):
    """Crowds that fit the descriptors of a host with little memory."""

    limits = _SMALL_LIMITS
    memory_mb = SMALL_MEMORY_MB
    max_descriptors = MANY_DESCRIPTORS

    def test_just_sent_too_large(self):
        """Bodies far over the limit, in chunks."""
        chunk = framing.encode_chunk(bytes(LARGE_BYTES))
        self.crowd(
            lambda _is_whole: parts_of(chunked(), chunk, FAR_PARTS),
            members=LARGE_CROWD,
        )

    def test_chunk_extensions(self):
        """Chunks of one byte with a long extension each."""
        self.crowd(
            lambda _is_whole: parts_of(chunked(), EXTENDED_CHUNKS, PARTS),
            members=LARGE_CROWD,
        )

    def test_reconnecting(self):
        """Bodies in chunks, sent again after each refusal."""
        chunk = framing.encode_chunk(bytes(LARGE_BYTES))
        self.crowd(
            lambda _is_whole: parts_of(chunked(), chunk, PARTS),
            members=LARGE_CROWD,
            send=_send_again,
        )

    def test_readiness(self):
        """Requests without end for the readiness."""
        self.check_endpoint(self.host.ready_address)

    def test_directory(self):
        """Requests without end for the addresses of hosts."""
        self.check_endpoint(self.host.directory_address)

    def check_endpoint(self, address):
        """Send requests without reading answers, then ask once."""
        self.crowd(
            lambda _is_whole: [ENDPOINT_REQUESTS],
            members=ENDPOINT_CROWD,
            address=address,
        )
        answer = plain_calls.ask(address, '/ready')
        self.assertIn(answer.status, {200, 404, 503})


class FleetCase(unittest.TestCase):
    """Cases with a fleet with store hosts."""

    limits = _LIMITS
    memory_mb = MEMORY_MB

    def setUp(self):
        """Start a fleet and let it learn the limits."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.fleet = self.enterContext(
            fleets.Fleet(pathlib.Path(folder), self.limits)
        )
        hosts = {**self.fleet.fronts, **self.fleet.stores}
        self.meters = {
            name: self.enterContext(
                Meter(host.process.handle, [host.process.address.port])
            )
            for name, host in hosts.items()
        }
        self.fleet.configure(MaxBodyBytes=BODY_BYTES)
        with gevent.Timeout(plain_calls.WAIT_SECONDS):
            while not self.fleet.is_settled():
                gevent.sleep(_SAMPLE_SECONDS)
            while self.ask(b'ordinary').status != 200:
                gevent.sleep(_SAMPLE_SECONDS)

    def ask(self, body):
        """Send a turn to the first entry host."""
        attempt = plain_calls.new_attempt()
        headers = {
            'Accept': 'text/event-stream',
            **CALLER_KEY,
            'X-Program-Id': attempt,
            'X-Session-Id': attempt,
            'X-Token-Budget': '1000',
            'X-Token-Count': '10,40',
            'X-Deadline-Ms': '8000',
        }
        return plain_calls.ask(
            self.fleet.address('front-0'),
            '/chat/1',
            method='POST',
            body=body,
            headers=headers,
        )

    def check_hosts(self):
        """Check that all processes live, within their memory."""
        hosts = {**self.fleet.fronts, **self.fleet.stores}
        for name, meter in self.meters.items():
            peak_mb = meter.peak_bytes / _KB / _KB
            with self.subTest(name, peak_mb=peak_mb):
                self.assertIsNone(hosts[name].process.handle.poll())
                self.assertLessEqual(peak_mb, self.memory_mb)


class StoredTurnsTest(FleetCase):
    """Whole bodies of turns that are stored."""

    def test_stored_turns(self):
        """All processes stay within their memory."""
        whole = bytes(BODY_BYTES)
        callers = [gevent.spawn(self.ask, whole) for _ in range(CROWD)]
        gevent.joinall(callers, timeout=plain_calls.WAIT_SECONDS)
        gevent.killall(callers)
        self.assertEqual(self.ask(b'ordinary').status, 200)
        self.check_hosts()


class SmallFleetTest(FleetCase):
    """Crowds on kept connections, and at store hosts, with little memory."""

    limits = _SMALL_LIMITS
    memory_mb = SMALL_MEMORY_MB

    def test_pipelined(self):
        """Many requests at once, whose answers the callers don't read."""
        requests = PIPELINED * plain_calls.encode(
            '/look/1',
            method='POST',
            body=b'ordinary',
            headers={'Connection': 'keep-alive', **CALLER_KEY},
        )
        address = self.fleet.address('front-0')
        self.check_crowd(address, requests, LARGE_CROWD)

    def test_messages_between_hosts(self):
        """Messages of legal length that stop short of their end."""
        prefix = FRAME_BYTES.to_bytes(4, 'big')
        frame = prefix + bytes(FRAME_BYTES - MISSING_BYTES)
        process = self.fleet.stores['store-0'].process
        address = (process.address.ip, process.address.port)
        self.check_crowd(address, frame, CROWD)

    def check_crowd(self, address, content, members):
        """Let callers send and leave, and check that turns are served."""
        with open_crowd(address, lambda _is_whole: [content], members):
            self.check_hosts()
        with gevent.Timeout(plain_calls.WAIT_SECONDS):
            while self.ask(b'ordinary').status != 200:
                gevent.sleep(_SAMPLE_SECONDS)
        self.check_hosts()


def _answer_crowd(sock, attempt):
    """Answer the requests of the crowd at length, others shortly."""
    if attempt != LARGE_ATTEMPT.encode():
        scripted_servers.send_whole(sock, attempt)
        return
    head = scripted_servers.WHOLE.partition(b'Content-Length')[0] % attempt
    length = b'Content-Length: %d\r\n\r\n' % ANSWER_BYTES
    sock.sendall(head + length + bytes(ANSWER_BYTES))


def _send(address, pieces, socks):
    """Send pieces on a connection that stays open."""
    with contextlib.suppress(OSError):
        sock = socket.create_connection(address)
        socks.append(sock)
        for piece in pieces:
            sock.sendall(piece)
            gevent.sleep(0)


def _send_again(address, pieces, socks):
    """Send pieces, again on a new connection once the host has closed."""
    sent = list(pieces)
    while True:
        mine = []
        _send(address, sent, mine)
        socks.extend(mine)
        with contextlib.suppress(OSError), gevent.Timeout(1, exception=False):
            while mine and mine[0].recv(LARGE_BYTES):
                gevent.sleep(0)
        gevent.sleep(_SAMPLE_SECONDS)


@contextlib.contextmanager
def open_crowd(address, pieces_of, members, send=_send):
    """Let callers send, and stay open in the block."""
    socks = []
    senders = [
        gevent.spawn(send, address, pieces_of(number % WHOLE_EVERY == 0), socks)
        for number in range(members)
    ]
    try:
        gevent.joinall(senders, timeout=SETTLE_SECONDS)
        yield
    finally:
        gevent.killall(senders)
        for sock in socks:
            sock.close()
