"""Provide entry hosts and an in-memory peer link for tests."""

import collections

from carobfork.coordination import routing
from carobfork.state import bundles, identifiers

PEER_PORT = 7103


def host(name, number=1, leaving=False):
    """Return an entry host at an address numbered after it."""
    ip = f'127.0.0.{name.rpartition("-")[-1]}'
    return routing.EntryHost(
        incarnation=identifiers.Incarnation(name, number),
        failure_domain='domain-1',
        caller_address=bundles.Address(ip, 7101),
        peer_address=bundles.Address(ip, PEER_PORT),
        leaving=leaving,
    )


class MemoryLink:
    """Store sent messages and call handlers directly."""

    def __init__(self):
        """Start without messages."""
        self.sent = collections.defaultdict(list)
        self.handlers = {}
        self.replies = {}

    def on(self, kind, handler):
        """Remember a handler."""
        self.handlers[kind] = handler

    def send(self, address, message):
        """Keep a message."""
        self.sent[address.ip].append(message)

    def request(self, address, message, timeout_ms):
        """Keep a message and return the reply prepared for its class."""
        self.sent[address.ip].append(message)
        reply = self.replies[type(message)]
        if isinstance(reply, Exception):
            raise reply
        return reply

    def deliver(self, message):
        """Hand a message to its handler."""
        return self.handlers[type(message)](message)
