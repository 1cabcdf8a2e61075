"""Plain calls: requests to an entry host, as callers send them."""

import contextlib
import uuid

import attrs
from gevent import socket

from carobfork.gateway import framing, message_readers
from tests import configurations

WAIT_SECONDS = 30


@attrs.frozen
class Answer:
    """A response that a caller got."""

    status: int
    head: framing.Head
    body: bytes
    is_whole: bool = True


def new_attempt():
    """Return a fresh attempt identifier."""
    return uuid.uuid4().hex[:16]


def encode(path, method='GET', headers=None, body=b'', attempt=None):
    """Return a request's bytes."""
    fields = {
        'Host': configurations.HOST,
        'X-Attempt-Id': attempt or new_attempt(),
        'X-Deadline-Ms': '3000',
        'Connection': 'close',
        **(headers or {}),
    }
    if body:
        fields['Content-Length'] = str(len(body))
    head = framing.encode_head(f'{method} {path} HTTP/1.1', fields.items())
    return head + body


def ask(address, path, most_events=None, **options):
    """Send a request on a connection of its own.

    :param most_events: leave after so many events of a stream.
    """
    with contextlib.closing(socket.create_connection(address)) as sock:
        sock.settimeout(WAIT_SECONDS)
        sock.sendall(encode(path, **options))
        return read_answer(sock, most_events)


def read_answer(sock, most_events=None):
    """Read a response, whole or broken off, or leave after some events."""
    reader = message_readers.Reader(sock)
    head = reader.read_head(framing.MAX_HEAD_BYTES)
    body = bytearray()
    try:
        for piece in reader.iter_body(framing.response_shape(head, 'GET')):
            body.extend(piece)
            if most_events and body.count(b'\n\n') >= most_events:
                raise EOFError
    except EOFError:
        return Answer(int(head.first[1]), head, bytes(body), is_whole=False)
    return Answer(int(head.first[1]), head, bytes(body))
