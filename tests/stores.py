"""Provide an in-memory object store and directly connected peers."""

import types

from carobfork import exceptions
from carobfork.coordination import ports, routing
from carobfork.state import bundles, identifiers

ADDRESS = bundles.Address('127.0.0.1', 1)


class ManualStore:
    """Store objects in memory; drop requests or answers on demand.

    :param faults: one of '', 'drop' and 'lose' for each coming request.
    """

    def __init__(self, faults=()):
        """Start without objects."""
        self.stored = {}
        self.down = False
        self.writes = 0
        self._faults = list(faults)

    def fetch(self, key):
        """Return an object."""
        fault = self._next_fault()
        if fault:
            raise self._no_answer()
        found = self.stored.get(key)
        return ports.StoredObject(key, *found) if found else None

    def update(self, key, body, expected_version):
        """Replace an object; the fault 'lose' drops the answer."""
        fault = self._next_fault()
        if fault == 'drop':
            raise self._no_answer()
        version, _ = self.stored.get(key, (0, b''))
        if version != expected_version:
            raise exceptions.ConflictError('conflict', version)
        self.stored[key] = (version + 1, body)
        self.writes += 1
        if fault == 'lose':
            raise self._no_answer()
        return version + 1

    def delete(self, key):
        """Remove an object."""
        self.stored.pop(key, None)

    def list_keys(self, prefix):
        """Return the keys."""
        if self.down:
            raise self._no_answer()
        return sorted(key for key in self.stored if key.startswith(prefix))

    def _next_fault(self):
        if self.down:
            return 'drop'
        return self._faults.pop(0) if self._faults else ''

    def _no_answer(self):
        return exceptions.PlatformError('no answer')


class DirectLink:
    """Call the handlers of hosts in the same process."""

    def __init__(self):
        """Start without hosts."""
        self.handlers = {}
        self.cut = set()

    def join(self, host):
        """Return a host's own link."""
        return types.SimpleNamespace(
            on=lambda kind, handler: self.handlers.update(
                {(host.peer_address, kind): handler},
            ),
        )

    def send(self, address, message):
        """Deliver a message, or lose it."""
        if address not in self.cut:
            self.handlers[address, type(message)](message)

    def request(self, address, message, timeout_ms):
        """Deliver a message and return the reply."""
        if address in self.cut:
            raise exceptions.ConnectionFailedError('cut', sent=True)
        return self.handlers[address, type(message)](message)


class Ring:
    """Members as one host sees them.

    :param own: the host.
    :param others: the hosts after it on the ring.
    """

    def __init__(self, own, others):
        """Start with everyone alive."""
        self.own = own
        self.leaving = False
        self.dead = set()
        self.listeners = []
        self._hosts = [own, *others]

    def live(self):
        """Return the live hosts."""
        return [host for host in self._hosts if host not in self.dead]

    def registered(self):
        """Return all hosts."""
        return self._hosts

    def successors(self, name):
        """Return all other hosts."""
        return [host for host in self._hosts if host.incarnation.host != name]

    def is_first_successor(self, name):
        """Tell that it is this host's turn."""
        return True

    def on_death(self, listener):
        """Remember a listener."""
        self.listeners.append(listener)


def entry_host(number):
    """Return a host by its number."""
    return routing.EntryHost(
        incarnation=identifiers.Incarnation(f'entry-{number}', 1),
        failure_domain='domain',
        caller_address=ADDRESS,
        peer_address=bundles.Address('127.0.0.1', number),
    )
