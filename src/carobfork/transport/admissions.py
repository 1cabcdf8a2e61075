"""Admissions: only peers that hold the deployment's key may connect.

ZeroMQ asks a socket of the process (ZAP) before it admits a connection.
"""

from zmq import green as zmq
from zmq.utils import z85

_ADDRESS = 'inproc://zeromq.zap.01'
_ADMITTED = b'200'
_REFUSED = b'400'


def bind(context: zmq.Context) -> zmq.Socket:
    """Return the socket that answers a context's admission requests."""
    socket = context.socket(zmq.REP)
    socket.bind(_ADDRESS)
    return socket


def run(socket: zmq.Socket, public_key: str) -> None:
    """Answer admission requests until the greenlet is killed.

    :param public_key: the deployment's public key, in Z85.
    """
    admitted = z85.decode(public_key)
    while True:
        version, number, *_, key = socket.recv_multipart()
        status = _ADMITTED if key == admitted else _REFUSED
        socket.send_multipart([version, number, status, b'', b'', b''])
