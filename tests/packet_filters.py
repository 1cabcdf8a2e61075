"""Packet filters: connections whose incoming packets the system drops."""

import contextlib
import ctypes
import socket as sockets
import struct

_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27
_RETURN = 6
"""The instruction that accepts as many bytes of a packet as it names."""


@contextlib.contextmanager
def drop_packets(sock):
    """Drop what arrives on a connection, as a host that has lost contact.

    Nothing is acknowledged, so the peer sends it again.

    :param sock: the socket of the side that hears nothing.
    """
    code = ctypes.create_string_buffer(struct.pack('HBBI', _RETURN, 0, 0, 0))
    program = struct.pack('HL', 1, ctypes.addressof(code))
    sock.setsockopt(sockets.SOL_SOCKET, _SO_ATTACH_FILTER, program)
    try:
        yield
    finally:
        sock.setsockopt(sockets.SOL_SOCKET, _SO_DETACH_FILTER, 0)
