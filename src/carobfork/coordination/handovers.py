"""Hand all programs over to a successor at a planned stop.

The successor takes the whole journal over, which costs one write instead of
one for each program. Calls in flight finish on this host, and their records
are sent to the successor. Until then the successor blocks further calls of
their programs.
"""

import random
from collections.abc import Callable

import attrs
import gevent
import structlog
from gevent import event

from carobfork import clock, exceptions
from carobfork.coordination import (
    homes,
    journals,
    local_requests,
    membership,
    messages,
    ports,
    routing,
)
from carobfork.state import identifiers

HAND_OVER_TIMEOUT_MS = 20_000
FLUSH_TIMEOUT_MS = 5000
RECORDS_TIMEOUT_MS = 10_000
FINISH_TIMEOUT_MS = 60_000
MAX_BATCH_RECORDS = 200
MAX_ATTEMPTS = 3
_POLL_MS = 50

logger = structlog.get_logger(part='handovers')


@messages.register
@attrs.frozen
class HandOver:
    """Requests that the receiver takes over the programs of the sender.

    ``busy`` lists the programs with calls that the sender still finishes.
    """

    sender: identifiers.Incarnation
    busy: tuple[str, ...]


@messages.register
@attrs.frozen
class HandedRecords:
    """Carries records of calls finished by the sender.

    ``first`` is the number of the first record.
    """

    sender: identifiers.Incarnation
    first: int
    segment: bytes


@messages.register
@attrs.frozen
class ProgramsIdle:
    """Reports that the sender has finished the calls of these programs."""

    sender: identifiers.Incarnation
    programs: tuple[str, ...]


class Handover:
    """Hands the programs of this host over to a successor.

    :param home: the programs of this host.
    :param members: provides the hosts that are not leaving.
    :param link: sends messages to the successor.
    :param codec: encodes the records sent to the successor.
    :param requests: pauses new requests during the handover.
    :param programs_in_flight: returns the programs with calls in flight.
    """

    def __init__(
        self,
        home: homes.Home,
        members: membership.Membership,
        link: ports.PeerLink,
        codec: ports.RecordCodec,
        requests: local_requests.LocalRequests,
        programs_in_flight: Callable[[], set[str]],
    ) -> None:
        """Initialize the handover; ``run`` starts it."""
        self._home = home
        self._members = members
        self._link = link
        self._codec = codec
        self._requests = requests
        self._under_way = programs_in_flight
        self._queue: list[journals.Entry] = []
        self._queued = event.Event()
        self._sent = 0

    def run(self) -> None:
        """Hand the programs over and finish calls in flight, within timeouts.

        If no successor confirms, the programs stay on this host until it
        stops; other hosts then take them over as after a failure.
        """
        self._requests.pause()
        journal = self._home.journal
        journal.diversion = self._enqueue
        try:
            successor = self._ask_any()
        except exceptions.CarobforkError as error:
            logger.warning('The programs stay here.', error=str(error))
            self._record_locally(journal)
            self._requests.resume(successor=None)
            return
        journal.seal()
        self._requests.resume(successor)
        self._finish(successor)

    def _record_locally(self, journal: journals.Journal) -> None:
        """Append the queued records to the local journal."""
        if not journal.sealed:
            journal.end_diversion(self._queue)
            return
        # A successor took the programs over but its confirmation was lost.
        for entry in self._queue:
            entry.fail(_unconfirmed_error('the journal is sealed'))

    def _ask_any(self) -> routing.EntryHost:
        """Ask hosts that are not leaving until one has taken the programs.

        :raises CarobforkError: if no host confirms.
        """
        self._flush()
        failure = exceptions.NotRunError(
            'every other host is leaving or dead', step='hand over'
        )
        for successor in self._candidates():
            try:
                return self._ask(successor)
            except exceptions.CarobforkError as error:
                failure = error
        raise failure

    def _flush(self) -> None:
        """Wait until the entries of the journal are committed.

        :raises PlatformError: if they are not committed in time.
        """
        journal = self._home.journal
        for _ in range(FLUSH_TIMEOUT_MS // _POLL_MS):
            if not journal.uncommitted():
                return
            gevent.sleep(clock.to_seconds(_POLL_MS))
        raise exceptions.PlatformError(
            f'records were not committed within {FLUSH_TIMEOUT_MS} ms',
            step='hand over',
        )

    def _candidates(self) -> list[routing.EntryHost]:
        staying = self._members.staying()
        count = min(MAX_ATTEMPTS, len(staying))
        return random.sample(staying, count)

    def _ask(self, successor: routing.EntryHost) -> routing.EntryHost:
        busy = tuple(self._busy())
        request = HandOver(self._own, busy)
        address = successor.peer_address
        self._link.request(address, request, HAND_OVER_TIMEOUT_MS)
        logger.info(
            'The programs were handed over.',
            peer=str(successor.incarnation),
            busy=len(busy),
        )
        return successor

    def _finish(self, successor: routing.EntryHost) -> None:
        """Forward records and report idle programs until none is busy."""
        sender = gevent.spawn(self._send_all, successor)
        waiting = self._busy()
        for _ in range(FINISH_TIMEOUT_MS // _POLL_MS):
            busy = self._busy()
            idle = waiting - busy
            if idle and not self._queue:
                report = ProgramsIdle(self._own, tuple(idle))
                self._link.send(successor.peer_address, report)
                waiting &= busy
            if not waiting and not busy:
                break
            gevent.sleep(clock.to_seconds(_POLL_MS))
        sender.kill()

    def _busy(self) -> set[str]:
        return self._under_way() | self._requests.active_programs()

    def _enqueue(self, entry: journals.Entry) -> None:
        self._queue.append(entry)
        self._queued.set()

    def _send_all(self, successor: routing.EntryHost) -> None:
        while True:
            self._queued.wait()
            while self._queue:
                self._send(successor, self._queue[:MAX_BATCH_RECORDS])
            self._queued.clear()

    def _send(
        self, successor: routing.EntryHost, batch: list[journals.Entry]
    ) -> None:
        segment = self._codec.pack([entry.encoded for entry in batch])
        request = HandedRecords(self._own, self._sent, segment)
        try:
            self._request(successor, request)
        except exceptions.CarobforkError as error:
            logger.warning('Records were not handed over.', error=str(error))
            for lost in batch:
                lost.fail(_unconfirmed_error(error))
        else:
            for entry in batch:
                entry.mark_committed(self._home.journal.apply)
        self._sent += len(batch)
        self._queue = self._queue[len(batch) :]

    def _request(
        self, successor: routing.EntryHost, request: HandedRecords
    ) -> None:
        for _ in range(MAX_ATTEMPTS):
            try:
                self._link.request(
                    successor.peer_address, request, RECORDS_TIMEOUT_MS
                )
            except exceptions.ConnectionFailedError as error:
                failure = error
            else:
                return
        raise failure

    @property
    def _own(self) -> identifiers.Incarnation:
        return self._members.own.incarnation


def _unconfirmed_error(reason: object) -> exceptions.UnknownOutcomeError:
    return exceptions.UnknownOutcomeError(
        f'the successor did not confirm the record: {reason}',
        step='hand over',
    )
