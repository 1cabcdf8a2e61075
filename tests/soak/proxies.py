"""Proxies: loopback connections that are delayed, held, reset or cut."""

import contextlib

import attrs
import gevent
from gevent import event, server, socket

_READ_BYTES = 65_536


@attrs.define
class LinkFaults:
    """What is wrong with a proxy's connections at the moment."""

    delay_seconds: float = 0
    is_silent: bool = False
    """Whether nothing passes from the server back, though all is taken."""
    is_cut: bool = False
    """Whether new connections are reset."""


class Proxy:
    """Pass connections on to one address, as a context manager.

    :param address: where to listen.
    :param target: where connections go.
    """

    def __init__(
        self, address: tuple[str, int], target: tuple[str, int]
    ) -> None:
        """Prepare the listener."""
        self.faults = LinkFaults()
        self.address = address
        self.target = target
        self._moving = event.Event()
        self._moving.set()
        self._open: set[socket.socket] = set()
        self._server = server.StreamServer(address, self._serve)

    def __enter__(self) -> 'Proxy':
        """Begin to listen."""
        self._server.start()
        return self

    def __exit__(self, *failure) -> None:
        """Close the listener and all connections."""
        self._server.stop(timeout=0)
        self.reset()

    def reset(self) -> None:
        """Break all connections."""
        for sock in list(self._open):
            sock.close()
        self._open.clear()

    def hold(self) -> None:
        """Hold all bytes, both ways, as if the server stood still.

        New connections are accepted, as by the kernel of such a server.
        """
        self._moving.clear()

    def go_on(self) -> None:
        """Pass on what was held, in its order."""
        self._moving.set()

    def _serve(self, near: socket.socket, _address: tuple) -> None:
        if self.faults.is_cut:
            near.close()
            return
        try:
            far = socket.create_connection(self.target, timeout=1)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        self._open.update((near, far))
        back = gevent.spawn(self._pump, far, near, True)
        self._pump(near, far, False)
        back.join()

    def _pump(
        self, source: socket.socket, sink: socket.socket, is_answer: bool
    ) -> None:
        """Pass bytes on one way until either side ends."""
        with contextlib.suppress(OSError):
            received = source.recv(_READ_BYTES)
            while received:
                gevent.sleep(self.faults.delay_seconds)
                self._moving.wait()
                if not (is_answer and self.faults.is_silent):
                    sink.sendall(received)
                received = source.recv(_READ_BYTES)
        for sock in (source, sink):
            self._open.discard(sock)
            with contextlib.suppress(OSError):
                sock.close()
