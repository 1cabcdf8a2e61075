"""Ask a host once, on a connection of its own."""

import contextlib
from typing import Any

from gevent import socket

from carobfork import clock, time_limits
from carobfork.storage import connections, links, messages

REPLY_TIMEOUT_MS = 500
"""For a request on a connection of its own; a host that has just started may
have many to answer."""


def request_once(address: tuple[str, int], message: Any) -> Any:
    """Send a request on a separate connection and return its reply.

    :param address: the host's IP address and port.
    :raises OSError: if the host can't be reached or does not reply in time.
    :raises BadRequestError: if the reply is malformed.
    """
    sock = socket.create_connection(
        address, timeout=clock.to_seconds(links.CONNECT_TIMEOUT_MS)
    )
    late = TimeoutError(f'no reply from {address} in {REPLY_TIMEOUT_MS} ms')
    with (
        contextlib.closing(sock),
        time_limits.time_limit(REPLY_TIMEOUT_MS, late),
    ):
        sock.settimeout(None)
        sock.sendall(messages.encode(messages.Envelope(1, 0, message)))
        buffered = bytearray()
        frames: list[bytes] = []
        while not frames:
            received = sock.recv(connections.READ_BYTES)
            if not received:
                raise ConnectionResetError(
                    f'{address} closed the connection before its reply'
                )
            buffered.extend(received)
            frames = messages.pop_frames(buffered)
    return messages.decode(frames[0]).message
