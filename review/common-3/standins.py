"""Stand-ins of the third review: platform store, workers and clients.

They need only the standard library. They speak what PROTOCOL.md says and
behave like sound ones, unless a case tells them otherwise.
"""

import contextlib
import http.server
import itertools
import json
import random
import socket
import socketserver
import struct
import threading
import time
import urllib.parse
import uuid

IP = '127.0.0.1'
STRIDE = 14
LAPSE_S = 3.0
"""Silence after which a worker's entry is removed: three heartbeats of 1.2 s
since the last one, which came before the worker ended."""


_BLOCKS = list(range(20_000, 32_000, 200))
"""First ports of blocks, below the ports that systems choose for connections."""


def _take_block():
    """Return a block's ports and what keeps other cases from it."""
    random.shuffle(_BLOCKS)
    for first in _BLOCKS:
        holder = socket.socket(type=socket.SOCK_DGRAM)
        try:
            holder.bind((IP, first))
        except OSError:
            holder.close()
            continue
        return itertools.cycle(range(first + 1, first + 200)), holder
    raise RuntimeError('all blocks of ports are taken')


_PORTS, _HOLDER = _take_block()


def free_port():
    """Return a loopback port that nobody listens on, another one each time."""
    for _ in range(200):
        port = next(_PORTS)
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((IP, port))
            return port
    raise RuntimeError('no port is free')


class PlatformStore:
    """The platform's store of objects, with lists, watches and conditions."""

    def __init__(self):
        self.lock = threading.Condition()
        self.objects = {}
        self.history = []
        self.revision = 7
        self.calls = 0
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'

            def log_message(self, *_args):
                pass

            def handle_any(self):
                length = int(self.headers.get('Content-Length') or 0)
                body = self.rfile.read(length) if length else b''
                status, answer = store.handle(self.command, self.path, body)
                content = json.dumps(answer).encode()
                with contextlib.suppress(OSError):
                    self.send_response(status)
                    self.send_header('Content-Type', 'application/json')
                    self.send_header('Content-Length', str(len(content)))
                    self.end_headers()
                    self.wfile.write(content)

            do_GET = do_POST = do_PUT = do_DELETE = handle_any

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_args):
                pass

        self._server = Server((IP, 0), Handler)
        self.address = f'{IP}:{self._server.server_port}'
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, kind, name, spec):
        """Write an object as the operator or a worker does."""
        with self.lock:
            known = self.objects.get((kind, name))
            self._store(kind, name, spec, known['Status'] if known else None)

    def get(self, kind, name):
        """Return an object, or None."""
        with self.lock:
            return self.objects.get((kind, name))

    def remove(self, kind, name):
        """Remove an object."""
        with self.lock:
            found = self.objects.pop((kind, name), None)
            if found is not None:
                self.revision += 1
                self.history.append((self.revision, kind, True, found))
                self.lock.notify_all()

    def handle(self, method, target, body):
        """Answer a call."""
        self.calls += 1
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(p) for p in url.path.strip('/').split('/')]
        if len(parts) < 2 or parts[0] != 'objects':
            return 404, {}
        kind, rest = parts[1], parts[2:]
        fields = json.loads(body) if body else {}
        with self.lock:
            if method == 'GET' and not rest:
                if 'Watch' in query:
                    return self._watch(kind, query)
                return self._list(kind, query)
            if method == 'POST' and not rest:
                name = fields['Metadata']['Name']
                if (kind, name) in self.objects:
                    return 409, self.objects[kind, name]
                return 201, self._store(kind, name, fields.get('Spec'), None)
            if not rest or (kind, rest[0]) not in self.objects:
                return 404, {}
            known = self.objects[kind, rest[0]]
            wanted = (fields.get('Metadata') or {}).get('Rev', query.get('Rev'))
            if wanted is not None and int(wanted) != known['Metadata']['Rev']:
                return 409, known
            if method == 'GET':
                return 200, known
            if method == 'PUT' and rest[1:] == ['status']:
                if fields['Status'] == known['Status']:
                    return 200, known
                return 200, self._store(
                    kind, rest[0], known['Spec'], fields['Status']
                )
            if method == 'PUT':
                if fields['Spec'] == known['Spec']:
                    return 200, known
                return 200, self._store(
                    kind, rest[0], fields['Spec'], known['Status']
                )
            if method == 'DELETE':
                self.objects.pop((kind, rest[0]))
                self.revision += 1
                self.history.append((self.revision, kind, True, known))
                self.lock.notify_all()
                return 200, known
        return 404, {}

    def _store(self, kind, name, spec, status):
        self.revision += 1
        known = self.objects.get((kind, name))
        created = known['Metadata']['Created'] if known else self.revision
        stored = {
            'Metadata': {
                'Name': name,
                'Rev': self.revision,
                'Created': created,
                'Finalizers': [],
                'Deleting': False,
            },
            'Spec': spec,
            'Status': status,
        }
        self.objects[kind, name] = stored
        self.history.append((self.revision, kind, False, stored))
        self.lock.notify_all()
        return stored

    def _list(self, kind, query):
        after = query.get('after', '')
        found = sorted(n for k, n in self.objects if k == kind and n > after)
        return 200, {
            'items': [self.objects[kind, name] for name in found[:500]],
            'MorePages': len(found) > 500,
            'CurrentRev': self.revision,
        }

    def _watch(self, kind, query):
        since = int(query['Watch'])
        until = time.monotonic() + int(query.get('WaitMs', 0)) / 1000
        while True:
            events = [
                {'Object': stored, 'Removed': removed}
                for revision, known, removed, stored in self.history
                if known == kind and revision > since
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'CurrentRev': self.revision}
            self.lock.wait(left)


class Worker:
    """A worker: it registers itself, runs requests, and can crash.

    :param crashes_on: the body of the requests that crash it.
    :param crashes_after: events of such a request before it does.
    :param falls_silent: whether its machine then says nothing any more,
        instead of resetting its connections.
    """

    def __init__(self, store, instance, service, record, *, slots=8, zone='a',
                 version='1', crashes_on=None, crashes_after=0, falls_silent=False, back_s=2.0, event_s=0.002,
                 work_s=0.02, events=10):
        self.store = store
        self.instance = instance
        self.service = service
        self.record = record
        self.slots = slots
        self.zone = zone
        self.version = version
        self.crashes_on = crashes_on
        self.crashes_after = crashes_after
        self.falls_silent = falls_silent
        self.back_s = back_s
        self.event_s = event_s
        self.work_s = work_s
        self.events = events
        self.lock = threading.Lock()
        self.running = 0
        self.runs = []
        self.crashes = []
        self.up = threading.Event()
        self.socks = set()
        self.fillers = []
        self.port = None
        self.start()

    @property
    def address(self):
        """Where the worker listens."""
        return f'{IP}:{self.port}'

    def start(self):
        """Listen and register as a new process."""
        self.born = int(time.time() * 1000)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((IP, self.port or 0))
        listener.listen(128)
        self.port = listener.getsockname()[1]
        self.listener = listener
        self.running = 0
        self.up.set()
        threading.Thread(
            target=self._accept, args=(listener,), daemon=True
        ).start()
        self.enter('ready')

    def enter(self, state):
        """Write the entry."""
        self.store.put('servers', self.instance, {
            'Service': self.service, 'Address': self.address,
            'Zone': self.zone, 'Version': self.version, 'Slots': self.slots,
            'State': state, 'ColdLeftMs': 0, 'Seq': 1, 'born': self.born,
        })

    def crash(self):
        """End as a killed process does: all connections are reset."""
        with self.lock:
            if not self.up.is_set():
                return
            self.up.clear()
            self.crashes.append(time.monotonic())
            socks, self.socks = list(self.socks), set()
        self.record(f'worker {self.instance} crashes')
        timer = threading.Timer(self.back_s, self._return, (socks,))
        timer.daemon = True
        timer.start()
        lapse = threading.Timer(LAPSE_S, self._lapse)
        lapse.daemon = True
        lapse.start()
        if self.falls_silent:
            self._fall_silent()
            return
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in socks:
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
                )
                # Wakes the thread that reads it, which closes it.
                sock.shutdown(socket.SHUT_RDWR)

    def _lapse(self):
        if not self.up.is_set():
            self.record(f'the entry of {self.instance} is removed')
            self.store.remove('servers', self.instance)

    def _fall_silent(self):
        """Let nobody connect: the queue of new connections is full."""
        self.listener.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((IP, self.port))
            self.fillers.append(filler)

    def _return(self, socks):
        if self.falls_silent:
            for sock in (*socks, *self.fillers):
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)
            self.fillers = []
            with contextlib.suppress(OSError):
                self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
            time.sleep(0.1)
        self.start()
        self.record(f'worker {self.instance} is back')

    def _accept(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            if not self.up.is_set():
                # Its machine is silent: this one is left as it is.
                self.fillers.append(sock)
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.socks.add(sock)
            threading.Thread(
                target=self._serve, args=(sock, self.born), daemon=True
            ).start()

    def _serve(self, sock, born):
        with contextlib.suppress(OSError, ValueError, EOFError):
            stream = sock.makefile('rb')
            while self.born == born and self._answer(sock, stream, born):
                pass
        with self.lock:
            self.socks.discard(sock)
        with contextlib.suppress(OSError):
            sock.close()

    def _answer(self, sock, stream, born):
        request = read_head(stream)
        if request is None:
            return False
        if not self.up.is_set():
            return self._stay_silent(born)
        (method, path, _version), fields = request
        body = read_request_body(stream, fields)
        if path == '/report':
            self._send(sock, 200, {'Content-Type': 'application/json'},
                       json.dumps({'Stage': 'both', 'Busy': False, 'Seq': 1,
                                   'born': born, 'Running': self.running,
                                   'Queued': 0}).encode())
            return True
        if path == '/health':
            self._send(sock, 200, {'X-Instance-Id': self.instance,
                                   'X-Server-Load': self._load()}, b'')
            return True
        attempt = fields.get('x-attempt-id', '')
        if not attempt:
            self._send(sock, 400, {'X-Not-Run': '1'}, b'')
            return True
        if fields.get('x-expect-instance', self.instance) != self.instance:
            self._send(sock, 421, {'X-Attempt-Id': attempt}, b'')
            return True
        with self.lock:
            is_full = self.running >= self.slots + 24
            self.running += not is_full
        if is_full:
            self._send(sock, 503, {'X-Not-Run': '1', 'X-Attempt-Id': attempt,
                                   'X-Server-Load': self._load()}, b'')
            return True
        try:
            return self._run(sock, method, path, fields, body, attempt, born)
        finally:
            with self.lock:
                if self.born == born:
                    self.running -= 1

    def _stay_silent(self, born):
        """Keep a connection open and silent until the machine is back."""
        while self.falls_silent and self.born == born:
            time.sleep(0.05)
        return False

    def _load(self):
        return f'{min(self.running, self.slots)},0,{self.slots}'

    def _run(self, sock, method, path, fields, body, attempt, born):
        with self.lock:
            self.runs.append((time.monotonic(), attempt, path, body, fields))
        is_deadly = self.crashes_on is not None and body == self.crashes_on
        if is_deadly and not self.crashes_after:
            self.crash()
            return self._stay_silent(born)
        headers = {
            'X-Attempt-Id': attempt,
            'X-Response-Stamp': f'{self.instance}.{attempt}',
            'X-Server-Load': self._load(),
        }
        time.sleep(self.work_s)
        tokens = fields.get('x-token-count')
        if tokens is None:
            self._send(sock, 200, headers, b'{"done": true}')
            return True
        count = min(self.events, int(tokens.split(',')[1]) // STRIDE)
        first = int(fields.get('last-event-id') or 0) + 1
        head = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream',
                'Transfer-Encoding: chunked']
        head += [f'{name}: {text}' for name, text in headers.items()]
        sock.sendall('\r\n'.join([*head, '', '']).encode())
        for number in range(first, count + 1):
            time.sleep(self.event_s)
            event = f'id: {number}\ndata: {attempt[:6]}-{number}\n\n'.encode()
            sock.sendall(b'%x\r\n%b\r\n' % (len(event), event))
            if is_deadly and number >= self.crashes_after:
                time.sleep(0.02)
                self.crash()
                return self._stay_silent(born)
        sock.sendall(b'0\r\n\r\n')
        return True

    def _send(self, sock, status, fields, body):
        head = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
        head += [f'{name}: {text}' for name, text in fields.items()]
        sock.sendall('\r\n'.join([*head, '', '']).encode() + body)


def read_head(stream):
    """Return first line and headers of a message, None at the end."""
    line = stream.readline()
    if not line:
        return None
    first = line.decode('latin-1').strip().split(' ', 2)
    fields = {}
    while True:
        line = stream.readline()
        if not line:
            raise EOFError
        text = line.decode('latin-1').strip()
        if not text:
            return first, fields
        name, _, value = text.partition(':')
        fields[name.strip().lower()] = value.strip()


def read_request_body(stream, fields):
    """Return a request's body."""
    length = int(fields.get('content-length') or 0)
    body = stream.read(length) if length else b''
    if len(body) < length:
        raise EOFError
    return body


class Answer:
    """What a client saw: status 0 if there was no answer."""

    def __init__(self, attempt):
        self.attempt = attempt
        self.status = 0
        self.fields = {}
        self.body = b''
        self.is_whole = False
        self.error = ''

    @property
    def events(self):
        """The data of the events that came whole."""
        found = []
        for part in self.body.split(b'\n\n')[:-1]:
            for line in part.split(b'\n'):
                if line.startswith(b'data:'):
                    found.append(line[5:].removeprefix(b' '))
        return found


def new_attempt():
    """Return the identifier of a client attempt."""
    return uuid.uuid4().hex[:16]


_AIMS = {}


def finish_ms(program, aim_s):
    """Return the time left until a program should be finished.

    :param aim_s: how long it may take from its first request on.
    """
    ends = _AIMS.setdefault(program, time.monotonic() + aim_s)
    return str(max(0, int((ends - time.monotonic()) * 1000)))


def call(address, method, path, host, fields=None, body=b'', deadline_ms=3000,
         on_event=None, gap_ms=None):
    """Send one client attempt on a new connection and read the answer.

    :param on_event: called with the answer after each piece of a stream.
    :param gap_ms: longest wait for the next bytes, by default the deadline.
    """
    answer = Answer(new_attempt())
    head = {
        'Host': host,
        'X-Attempt-Id': answer.attempt,
        'X-Deadline-Ms': str(deadline_ms),
        **(fields or {}),
    }
    if body or method != 'GET':
        head['Content-Length'] = str(len(body))
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in head.items()]
    until = time.monotonic() + deadline_ms / 1000 + 0.5
    try:
        with socket.create_connection(address, timeout=1) as sock:
            sock.settimeout((gap_ms or deadline_ms + 500) / 1000)
            sock.sendall('\r\n'.join([*lines, '', '']).encode() + body)
            _read_answer(sock.makefile('rb'), answer, until, on_event)
    except (OSError, EOFError, ValueError) as error:
        answer.error = repr(error)
    return answer


def _read_answer(stream, answer, until, on_event):
    read = read_head(stream)
    if read is None:
        raise EOFError('no answer')
    first, answer.fields = read
    answer.status = int(first[1])
    if answer.fields.get('transfer-encoding', '').lower() != 'chunked':
        length = int(answer.fields.get('content-length') or 0)
        answer.body = stream.read(length)
        answer.is_whole = len(answer.body) == length
        return
    while time.monotonic() < until:
        line = stream.readline()
        if not line:
            raise EOFError('broken off')
        size = int(line.strip(), 16)
        piece = stream.read(size + 2)
        if len(piece) < size + 2:
            raise EOFError('broken off')
        if not size:
            answer.is_whole = True
            return
        answer.body += piece[:-2]
        if on_event is not None:
            on_event(answer)
    raise EOFError('too late')


class Proxy(socketserver.ThreadingTCPServer):
    """Pass connections on; a case may hold back or drop what passes."""

    daemon_threads = True
    allow_reuse_address = True

    def __init__(self, target):
        self.target = target
        self.is_cut = False
        self.is_silent = False
        self.pairs = set()
        super().__init__((IP, 0), socketserver.BaseRequestHandler)
        self.address = self.server_address
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def finish_request(self, near, _address):
        """Pass one connection on."""
        if self.is_cut:
            return
        try:
            far = socket.create_connection(self.target, timeout=1)
        except OSError:
            return
        far.settimeout(None)
        self.pairs.add((near, far))
        back = threading.Thread(
            target=self._pump, args=(far, near), daemon=True
        )
        back.start()
        self._pump(near, far)
        back.join()
        self.pairs.discard((near, far))

    def reset(self):
        """Break all connections."""
        for near, far in list(self.pairs):
            for sock in (near, far):
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    def _pump(self, source, sink):
        with contextlib.suppress(OSError):
            while piece := source.recv(65536):
                while self.is_silent:
                    time.sleep(0.02)
                sink.sendall(piece)
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
