"""Faults: what goes wrong in a soak, by kind.

Each takes the fleet, a random source and how long it lasts, and ends with
everything mended. Kinds fill a registry by decorator.
"""

import contextlib
import functools
import random
import signal
from collections.abc import Callable, Iterator

import gevent

from tests import configurations
from tests.soak import fleets, records, tenants

Hosts = dict[str, fleets.Host]
Fault = Callable[[fleets.Fleet, random.Random, float], None]
HostFault = Callable[[Hosts, random.Random, float], None]
FAULTS: dict[str, Fault] = {}  # noqa: WPS407
SOUND: set[str] = set()  # noqa: WPS407
"""The kinds that leave all hosts, servers and ways between them sound: callers
must notice nothing but a delay."""
SETTLE_SECONDS = 10
TWICE_SHARE = 0.5
"""Of the disks that are lost, those that are lost again while they join."""
JOIN_POLL_SECONDS = 0.005
ODD_ENTRIES = (
    '{"State": {}}',
    '{"Seq": NaN}',
    '{"Seq": 1000000000000000000000000000000}',
    '{"Service": "\xff"}',
)
VERSIONS = ('v1', 'v2', 'v3')
TIMEOUTS_MS = (1500, 1800, 2600, configurations.TIMEOUT_MS)
SERVICE_PREFIXES = 'et'
"""First letters of the names of a service's servers."""
SHORTEST_PAUSE_SECONDS = 0.8
LONGEST_PAUSE_SECONDS = 1.5


def register(fault: Fault) -> Fault:
    """Register a kind under its function's name."""
    FAULTS[fault.__name__] = fault
    return fault


def register_sound(fault: Fault) -> Fault:
    """Register a kind that leaves everything sound."""
    SOUND.add(fault.__name__)
    return register(fault)


def inject(
    kind: str, fleet: fleets.Fleet, dice: random.Random, span: float
) -> None:
    """Let a fault happen.

    :param kind: its registered name.
    """
    is_sound = kind in SOUND
    with contextlib.nullcontext() if is_sound else fleet.disturbed():
        FAULTS[kind](fleet, dice, span)


def register_for(*groups: str) -> Callable[[HostFault], HostFault]:
    """Register a kind for each of the fleet's groups of hosts."""

    def decorator(fault: HostFault) -> HostFault:
        for group in groups:
            FAULTS[f'{fault.__name__}_{group}'] = functools.partial(
                _disturb_group, fault, group
            )
        return fault

    return decorator


def _disturb_group(
    fault: HostFault,
    group: str,
    fleet: fleets.Fleet,
    dice: random.Random,
    span: float,
) -> None:
    fault(getattr(fleet, group), dice, span)


@contextlib.contextmanager
def _taken(hosts: Hosts, dice: random.Random) -> Iterator[fleets.Host | None]:
    """Choose a host that no other fault has taken, if there is one."""
    free = [host for host in hosts.values() if not host.is_down]
    if not free:
        yield None
        return
    host = dice.choice(free)
    host.begin_fault()
    try:
        yield host
    finally:
        host.end_fault()


@register_for('fronts', 'stores')
def kill(hosts: Hosts, dice: random.Random, span: float) -> None:
    """Kill a host and start it again; a disk stays."""
    with _taken(hosts, dice) as host:
        if host is not None:
            host.kill()
            gevent.sleep(span)
            host.process.start()


@register_for('fronts', 'stores')
def pause(hosts: Hosts, dice: random.Random, span: float) -> None:
    """Let a host stand still."""
    with _taken(hosts, dice) as host:
        if host is not None:
            host.process.send(signal.SIGSTOP)
            gevent.sleep(span)
            host.process.send(signal.SIGCONT)


@register
def stop_front(fleet, dice, span):
    """Stop an entry host as planned and start it again."""
    with _taken(fleet.fronts, dice) as host:
        if host is not None:
            host.process.send(signal.SIGTERM)
            host.process.wait()
            host.process.start()


@register_sound
def reload_fronts(fleet, dice, span):
    """Tell all entry hosts that their settings have changed."""
    for host in fleet.fronts.values():
        if not host.is_down:
            host.process.send(signal.SIGHUP)


@register
def lose_disk(fleet, dice, span):
    """Empty the disk of one store host, if all others are whole."""
    others = [host for host in fleet.stores.values() if host.is_down]
    if others or not fleet.is_settled():
        return
    with _taken(fleet.stores, dice) as host:
        host.kill()
        host.wipe()
        gevent.sleep(span)
        host.process.start()
        if dice.random() < TWICE_SHARE:
            _lose_again(fleet, host, span)
        # Another disk may be lost only once this one is whole again.
        with gevent.Timeout(SETTLE_SECONDS, exception=False):
            gevent.sleep(1)
            while not fleet.is_settled():
                gevent.sleep(0.1)


def _lose_again(fleet, host, span):
    """Empty a disk once more while the host copies the records."""
    with gevent.Timeout(SETTLE_SECONDS, exception=False):
        while not fleet.is_changing():
            gevent.sleep(JOIN_POLL_SECONDS)
        host.kill()
        host.wipe()
        gevent.sleep(span)
        host.process.start()


@register
def kill_all(fleet, dice, span):
    """Kill all processes at the same moment."""
    hosts = [*fleet.fronts.values(), *fleet.stores.values()]
    if any(host.is_down for host in hosts):
        return
    for host in hosts:
        host.begin_fault()
        host.process.send(signal.SIGKILL)
    for host in hosts:
        host.process.wait()
        host.process.launch()
    for host in hosts:
        host.process.wait_until_ready()
        host.end_fault()


@register
def platform_down(fleet, dice, span):
    """Let the platform's store refuse all."""
    fleet.store.faults.down = True
    gevent.sleep(span)
    fleet.store.faults.down = False


@register
def platform_lost(fleet, dice, span):
    """Let answers to the next writes be lost."""
    fleet.store.faults.lost_answers += 2


@register
def platform_compact(fleet, dice, span):
    """Drop the history of the platform's store."""
    fleet.store.compact()


@register
def platform_silent(fleet, dice, span):
    """Let one host hear nothing from the platform's store."""
    hosts = {**fleet.fronts, **fleet.stores}
    proxy = hosts[dice.choice(sorted(hosts))].platform
    proxy.faults.is_silent = True
    gevent.sleep(span)
    proxy.faults.is_silent = False
    proxy.reset()


@register
def backend_reset(fleet, dice, span):
    """Break all connections to a backend server."""
    fleet.links[dice.choice(sorted(fleet.links))].reset()


@register
def backend_silent(fleet, dice, span):
    """Let a backend server's answers vanish."""
    link = fleet.links[dice.choice(sorted(fleet.links))]
    link.faults.is_silent = True
    gevent.sleep(span)
    link.faults.is_silent = False
    link.reset()


@register
def backend_cut(fleet, dice, span):
    """Let a backend server refuse connections."""
    link = fleet.links[dice.choice(sorted(fleet.links))]
    link.faults.is_cut = True
    link.reset()
    gevent.sleep(span)
    link.faults.is_cut = False


@register
def backend_slow(fleet, dice, span):
    """Delay all bytes to and from a backend server."""
    link = fleet.links[dice.choice(sorted(fleet.links))]
    link.faults.delay_seconds = 0.1
    gevent.sleep(span)
    link.faults.delay_seconds = 0


@register_sound
def backends_pause(fleet, dice, span):
    """Let one server of a service, or all, fall silent and go on."""
    prefix = dice.choice(SERVICE_PREFIXES)
    names = [name for name in sorted(fleet.links) if name.startswith(prefix)]
    if dice.choice((True, False)):
        names = [dice.choice(names)]
    links = [fleet.links[name] for name in names]
    if dice.choice((True, False)):
        fleet.configure(timeout_ms=dice.choice(TIMEOUTS_MS))
    for held in links:
        held.hold()
    gevent.sleep(dice.uniform(SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS))
    for moving in links:
        moving.go_on()


@register
def backend_breaks(fleet, dice, span):
    """Let a backend server's streams break off, or its answers be lost."""
    backend = fleet.backends[dice.choice(sorted(fleet.backends))]
    backend.faults.break_after = dice.randrange(4)
    backend.faults.drop_answer = dice.choice((True, False))
    gevent.sleep(span)
    backend.faults.break_after = None
    backend.faults.drop_answer = False


@register
def backend_full(fleet, dice, span):
    """Let a backend server refuse all calls."""
    backend = fleet.backends[dice.choice(sorted(fleet.backends))]
    backend.faults.full = True
    gevent.sleep(span)
    backend.faults.full = False


@register
def backend_leaves(fleet, dice, span):
    """Let a backend server drain, leave and come back as a new process."""
    instance = dice.choice(sorted(fleet.backends))
    backend = fleet.backends[instance]
    backend.faults.leaving = True
    fleet.register(instance, State='draining')
    gevent.sleep(span)
    if instance in fleet.backends:
        backend.restart()
        fleet.register(instance)


@register
def backend_says_leaving(fleet, dice, span):
    """Let a backend server leave of which the registry tells late.

    It serves on beyond its drain time, then starts again under its name.
    """
    instance = dice.choice(sorted(fleet.backends))
    backend = fleet.backends[instance]
    backend.faults.leaving = True
    gevent.sleep(records.DRAIN_SECONDS * 2 + span)
    if instance in fleet.backends:
        backend.restart()
        gevent.sleep(span)
    if instance in fleet.backends:
        fleet.register(instance)


@register
def backend_replaced(fleet, dice, span):
    """Start a model engine again under its name, with any version.

    The registry tells of it some time later.
    """
    engines = sorted(name for name in fleet.backends if name.startswith('e'))
    instance = dice.choice(engines)
    backend = fleet.backends[instance]
    fleet.links[instance].reset()
    backend.version = dice.choice(VERSIONS)
    backend.restart()
    gevent.sleep(span)
    if instance in fleet.backends:
        fleet.register(instance)


@register
def odd_entry(fleet, dice, span):
    """Let another writer leave an entry that can't be read."""
    fleet.store.put_encoded('servers', 'odd', dice.choice(ODD_ENTRIES))
    gevent.sleep(span)
    with contextlib.suppress(KeyError):
        fleet.store.remove('servers', 'odd')


@register
def release(fleet, dice, span):
    """Replace a model engine by one of any version, also an earlier one."""
    engines = sorted(name for name in fleet.backends if name.startswith('e'))
    replaced = dice.choice(engines)
    fleet.add_release(dice.choice(VERSIONS))
    fleet.backends[replaced].faults.leaving = True
    fleet.register(replaced, State='draining')
    gevent.sleep(span)
    if replaced in fleet.backends:
        fleet.retire(replaced)


@register
def streams_break(fleet, dice, span):
    """Let the streams of all model engines break off after an event or two."""
    engines = [
        backend
        for name, backend in fleet.backends.items()
        if name.startswith('e')
    ]
    for backend in engines:
        backend.faults.break_after = dice.randrange(1, 3)
    gevent.sleep(span)
    for backend in engines:
        backend.faults.break_after = None


@register
def revoke(fleet, dice, span):
    """Take a tenant's keys away and give them back."""
    fleet.revoked.add(tenants.REVOCABLE)
    fleet.configure()
    gevent.sleep(span)
    fleet.revoked.discard(tenants.REVOCABLE)
    fleet.configure()


@register_sound
def configure(fleet, dice, span):
    """Write another version of the configuration."""
    fleet.configure()


@register_sound
def change_timeouts(fleet, dice, span):
    """Write a configuration whose routes have another time limit."""
    fleet.configure(timeout_ms=dice.choice(TIMEOUTS_MS))
