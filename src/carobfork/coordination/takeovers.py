"""Take over the programs of dead or stopping incarnations.

A takeover costs a few writes regardless of the number of programs: an adoption
record in the journal of the host that takes over, the seal of the other
journal, and an update of the host object of the host that takes over. The
adoption is recorded first, so that it can be found if that host fails halfway
and is taken over itself.
"""

import random
from collections.abc import Callable

import attrs
import gevent
import structlog
from gevent import event, lock

from carobfork import clock, exceptions
from carobfork.coordination import (
    homes,
    journals,
    membership,
    messages,
    ports,
    registrations,
    routing,
    seals,
)
from carobfork.state import identifiers, programs, records

CHECK_INTERVAL_MS = 1000
JITTER_MS = 1000
ADOPTION_TIMEOUT_MS = 10_000
HAND_OVER_TIMEOUT_MS = 30_000
FIRST_BACKOFF_MS = 5000
MAX_BACKOFF_MS = 600_000
REPLAY_BATCH = 1000
_STEP = 'take over'

logger = structlog.get_logger(part='takeovers')


@messages.register
@attrs.frozen
class TakeOver:
    """Requests that the receiver takes over a stopping incarnation."""

    incarnation: identifiers.Incarnation


@messages.register
@attrs.frozen
class TakenOver:
    """Confirms that the programs are adopted."""

    incarnation: identifiers.Incarnation


@attrs.define
class _Suspect:
    """A host declared dead, and when to check its journal again."""

    host: routing.EntryHost
    next_check_ms: float = 0
    backoff_ms: float = FIRST_BACKOFF_MS


class Takeovers:
    """Decides which incarnations to take over, and takes them over.

    :param home: receives the adopted programs.
    :param registration: publishes the adoptions at the platform.
    :param members: reports dead hosts.
    :param sealer: seals journals.
    :param open_journal: opens the journal of a new incarnation.
    :param timer: measures backoff and durations.
    """

    def __init__(
        self,
        home: homes.Home,
        registration: registrations.Registration,
        members: membership.Membership,
        sealer: seals.Sealer,
        open_journal: Callable[[identifiers.Incarnation], journals.Journal],
        timer: clock.Clock,
    ) -> None:
        """Initialize without adopted incarnations."""
        self.adopted: frozenset[identifiers.Incarnation] = frozenset()
        self.last_duration_ms = 0
        """Duration of the last takeover in ms, from its first write on."""
        self.transfer_lock = lock.RLock()
        """Held while records move between journals."""
        self._home = home
        self._registration = registration
        self._members = members
        self._sealer = sealer
        self._open_journal = open_journal
        self._timer = timer
        self._suspects: dict[str, _Suspect] = {}
        self._published = self.adopted
        self.lost: frozenset[identifiers.Incarnation] = frozenset()
        """Incarnations that other hosts have taken over first."""
        self._claimed: set[identifiers.Incarnation] = set()
        self._taken: frozenset[identifiers.Incarnation] = frozenset()
        self._wakeup = event.Event()
        members.on_death(self.suspect)

    @property
    def suspects(self) -> list[str]:
        """The incarnations that wait to be taken over."""
        return [
            str(suspect.host.incarnation) for suspect in self._suspects.values()
        ]

    def suspect(self, host: routing.EntryHost) -> None:
        """Queue a dead host for takeover by its first live successor."""
        self._suspects[host.incarnation.host] = _Suspect(host)
        self._wakeup.set()

    def run(self) -> None:
        """Perform due takeovers until the greenlet is killed."""
        while True:
            try:
                self.step()
            except exceptions.CarobforkError as error:
                logger.warning(
                    'A takeover step failed and will be retried.',
                    error=str(error),
                )
            self._wakeup.clear()
            self._wakeup.wait(clock.to_seconds(CHECK_INTERVAL_MS))

    def step(self) -> None:
        """Perform all takeovers that are due and publish them."""
        if _is_adopted_elsewhere(self._members):
            self._home.journal.seal()
        if self._home.journal.sealed:
            self._restart()
        for incarnation in self._registration.own.predecessors:
            if incarnation not in self.lost:
                _run_and_log(self.take, incarnation)
        for suspect in list(self._suspects.values()):
            _run_and_log(self._take_over_if_due, suspect)
        self._publish()

    def take(self, incarnation: identifiers.Incarnation) -> bool:
        """Take over an incarnation and return whether this host owns it.

        :raises CarobforkError: if the takeover is not finished; retry it.
        """
        with self.transfer_lock:
            if incarnation not in self._taken:
                started_ms = self._timer.now_ms()
                self._adopt(incarnation)
                self.last_duration_ms = self._timer.now_ms() - started_ms
            return incarnation in self._taken

    def hand_over(self, host: routing.EntryHost, link: ports.PeerLink) -> None:
        """Make another host take over the programs of this host.

        :raises CarobforkError: if the host did not confirm; the programs may
            be on either host.
        """
        link.request(
            host.peer_address,
            TakeOver(self._registration.own.incarnation),
            HAND_OVER_TIMEOUT_MS,
        )
        self._home.journal.seal()

    def handle_take_over(self, message: TakeOver) -> TakenOver:
        """Take over a host that is stopping.

        :raises NotRunError: if another host has taken its programs over.
        """
        if not self.take(message.incarnation):
            raise exceptions.NotRunError(
                f'another host took over {message.incarnation}', step=_STEP
            )
        self._publish()
        return TakenOver(message.incarnation)

    def prune(self) -> None:
        """Remove adopted incarnations that have no programs left."""
        self.adopted &= self._home.table.incarnations()

    def _adopt(self, incarnation: identifiers.Incarnation) -> None:
        own = self._registration.own.incarnation
        winner = self._sealer.reader.tail(incarnation).successor
        if not winner:
            self._claim(incarnation)
            winner = self._sealer.seal(incarnation, own)
        if winner != str(own):
            self.lost |= {incarnation}
            logger.info('Another host took over.', peer=winner)
            return
        tree = seals.JournalTreeReader(self._sealer).read(incarnation, (own,))
        self._admit(own, tree)

    def _claim(self, incarnation: identifiers.Incarnation) -> None:
        """Record the adoption, effective only if the seal names this host."""
        if incarnation in self._claimed:
            return
        self._home.journal.append(
            records.Adopted(incarnation), ADOPTION_TIMEOUT_MS
        )
        self._claimed.add(incarnation)

    def _admit(
        self, own: identifiers.Incarnation, tree: seals.JournalTree
    ) -> None:
        """Add all programs at once, so that none is visible half replayed."""
        table = programs.ProgramTable()
        for position, record in enumerate(tree.records):
            table.apply_if_known(record)
            if position % REPLAY_BATCH == 0:
                gevent.sleep(0)
        if self._home.journal.sealed or own != self._home.journal.incarnation:
            raise exceptions.SealedError(
                f'{own} was itself taken over meanwhile', step=_STEP
            )
        self._home.table.programs.update(table.programs)
        self.adopted |= tree.incarnations
        self._taken |= tree.incarnations
        logger.info('Programs were adopted.', programs=len(table.programs))

    def _take_over_if_due(self, suspect: _Suspect) -> None:
        incarnation = suspect.host.incarnation
        if self._is_settled(suspect.host):
            self._suspects.pop(incarnation.host, None)
            return
        now_ms = self._timer.now_ms()
        is_due = now_ms >= suspect.next_check_ms
        if not is_due or not self._members.is_first_successor(incarnation.host):
            return
        gevent.sleep(clock.to_seconds(random.uniform(0, JITTER_MS)))
        for earlier in (*suspect.host.predecessors, incarnation):
            self.take(earlier)
        # If another host sealed the journal and then died, the takeover of
        # that host includes these programs; check again with backoff.
        suspect.next_check_ms = now_ms + suspect.backoff_ms
        suspect.backoff_ms = min(2 * suspect.backoff_ms, MAX_BACKOFF_MS)

    def _is_settled(self, host: routing.EntryHost) -> bool:
        """Return whether a host declared dead is back or was taken over."""
        if host.incarnation in self._taken:
            return True
        for other in self._members.live():
            if other.is_home_of(host.incarnation):
                return True
            if other.incarnation.host == host.incarnation.host:
                return True
        return False

    def _restart(self) -> None:
        """Continue as an empty new incarnation after being taken over."""
        if self._members.leaving:
            return
        logger.warning('This host continues as a new incarnation.')
        with self.transfer_lock:
            own = self._registration.register()
            self._members.own = own
            self.adopted = frozenset()
            self._published = frozenset()
            self._taken = frozenset()
            self._claimed.clear()
            self._home.reset(self._open_journal(own.incarnation))

    def _publish(self) -> None:
        unfinished = set(self._registration.own.predecessors)
        done = unfinished & (self.adopted | self.lost)
        if self.adopted == self._published and not done:
            return
        adopted = self.adopted
        self._registration.publish(adopted, self.lost)
        self._published = adopted


def _is_adopted_elsewhere(members: membership.Membership) -> bool:
    """Return whether another host has published a takeover of this one."""
    own = members.own.incarnation
    return any(own in other.adopted for other in members.registered())


def _run_and_log(action: Callable, subject: object) -> None:
    """Run an action and log its failure, so that others still run."""
    try:
        action(subject)
    except exceptions.CarobforkError as error:
        logger.warning(
            'A takeover failed and will be retried.', error=str(error)
        )
