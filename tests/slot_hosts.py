"""Simulate entry hosts that exchange slot messages in one process.

The hosts run on a manual clock.
"""

import contextlib

import attrs
import gevent

from carobfork import clock
from carobfork.coordination import (
    mailboxes,
    pool_hosts,
    pool_routes,
    queue_orders,
    routing,
    slot_clients,
)
from carobfork.protocol import wire
from carobfork.state import bundles, identifiers

MODEL = 'talk'
POOL = 'talk/0'
FIRST_PORT = 1000


def make_bundle(version=1, workers=2, **policy):
    """Return a bundle with two ranks and one model."""
    return bundles.Bundle(
        version=version,
        ranks=(
            bundles.Rank('urgent', share=0.6),
            bundles.Rank('routine', share=0.2),
        ),
        programs=(),
        models=(
            bundles.Model(
                MODEL,
                tuple(
                    bundles.Worker(f'engine-{number}', address(number))
                    for number in range(workers)
                ),
            ),
        ),
        services=(),
        policy=bundles.Policy(**policy),
    )


def address(number):
    """Return an address that nothing listens on."""
    return bundles.Address('127.0.0.1', FIRST_PORT + number)


def make_request(identifier, rank=0, **fields):
    """Return a call's request for a slot."""
    defaults = {'program': identifier, 'model': MODEL, 'attained_tokens': 0}
    return queue_orders.SlotRequest(
        identifier=identifier, rank=rank, **{**defaults, **fields}
    )


class Network:
    """Network that carries encoded messages between hosts.

    Messages of hosts in ``cut`` and of the types in ``lost_kinds`` are
    dropped.
    """

    def __init__(self, count=3):
        """Create the hosts; a bundle must be applied to each."""
        self.codec = wire.MessageCodec()
        self.cut = set()
        self.dead = set()
        self.lost_kinds = ()
        self.sent = []
        self.timer = clock.ManualClock()
        self.hosts = [Host(self, number) for number in range(count)]

    def live(self):
        """Return the hosts that are not known to be dead."""
        return [
            host.entry
            for host in self.hosts
            if host.entry.incarnation not in self.dead
        ]

    def is_leaving(self, entry):
        """Return False, since no host is about to stop."""
        return False

    def report_failure(self, victim):
        """Report a failed host to all hosts."""
        self.dead.add(victim.entry.incarnation)
        for host in self.hosts:
            host.pool_host.release_host(victim.entry)
            host.broker.reroute(victim.entry)

    def server(self):
        """Return the host that serves the pool."""
        name = self.hosts[0].routes.find(POOL)
        return next(
            host for host in self.hosts if host.entry.incarnation == name
        )

    def others(self):
        """Return the hosts that do not serve the pool."""
        return [host for host in self.hosts if host is not self.server()]

    def tick(self, count=1):
        """Run the ticks of all hosts that are neither cut off nor dead."""
        for _ in range(count):
            for host in self.hosts:
                if host.entry.incarnation not in self.cut | self.dead:
                    host.pool_host.tick()
                    host.broker.tick()


class Host:
    """An entry host's slot components, linked to the network."""

    def __init__(self, network, number):
        """Create and connect the components."""
        self.network = network
        self.handlers = {}
        own = identifiers.Incarnation(f'entry-{number}', 1)
        self.entry = routing.EntryHost(
            own, 'domain', address(number), address(number)
        )
        mailbox = mailboxes.Mailbox(self.find_own, network, self)
        self.routes = pool_routes.PoolRoutes(self.find_own, network)
        self.pool_host = pool_hosts.PoolHost(mailbox, network.timer)
        self.broker = slot_clients.SlotClient(
            mailbox, self.routes, network.timer
        )

    def find_own(self):
        """Return this host's incarnation."""
        return self.entry.incarnation

    def reincarnate(self):
        """Continue as a new incarnation, as after a takeover."""
        own = self.entry.incarnation
        self.entry = attrs.evolve(
            self.entry,
            incarnation=identifiers.Incarnation(own.host, own.number + 1),
        )

    def apply(self, bundle):
        """Apply a bundle."""
        self.pool_host.apply_bundle(bundle)
        self.broker.apply_bundle(bundle)

    def on(self, kind, handler):
        """Register the handler of a message type."""
        self.handlers[kind] = handler

    def send(self, peer_address, message):
        """Encode a message and pass it to its receiver's handler."""
        network = self.network
        peer = network.hosts[peer_address.port - FIRST_PORT]
        ends = {self.entry.incarnation, peer.entry.incarnation}
        if ends & network.cut or isinstance(message, network.lost_kinds):
            return
        packed = network.codec.encode(message)
        network.sent.append(packed)
        peer.handlers[type(message)](network.codec.decode(packed))

    def hold(self, request):
        """Acquire a slot in a greenlet and hold it until that is killed."""
        call = HeldCall(request)
        call.greenlet = gevent.spawn(self._hold, call)
        gevent.sleep(0)
        return call

    def slots(self):
        """Return the calls that hold a slot of the pools served here."""
        servers = self.pool_host._servers.values()
        return {
            identifier
            for server in servers
            for identifier in server.dispatcher.granted
        }

    def _hold(self, call):
        with contextlib.suppress(gevent.GreenletExit):
            try:
                with self.broker.acquire(call.request) as slot:
                    call.worker = slot.worker
                    gevent.sleep(3600)
            except Exception as error:
                call.error = error


@attrs.define
class HeldCall:
    """A call that waits for a slot or holds one."""

    request: queue_orders.SlotRequest
    worker: str = ''
    error: Exception | None = None
    greenlet: gevent.Greenlet | None = None

    def end(self):
        """End the call."""
        self.greenlet.kill()
        gevent.sleep(0)
