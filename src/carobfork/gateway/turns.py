"""Reserve budget and load history for turns, and store them when they end.

A turn is one exchange of a conversation with a backend server.
"""

from collections.abc import Iterator, Mapping, Sequence
from typing import Protocol

import attrs
import gevent
import structlog

from carobfork import clock, exceptions
from carobfork.gateway import (
    budgets,
    calls,
    events,
    fingerprints,
    histories,
    program_admissions,
    routes,
    stream_beginnings,
    stream_recorders,
    workers,
)
from carobfork.storage import messages

RECORD_TIMEOUT_MS = 150
"""Covers many round trips and a sync; a stream that waits longer would pause
for more than callers notice, and only lose the chance to be resumed."""
_SCOPE_END = '\n'
"""Between a tenant's name and those of its records."""

logger = structlog.get_logger(part='turns')


class TurnNotStoredError(exceptions.UnknownOutcomeError):
    """The turn has run, but too few store hosts have confirmed it."""

    code = 'turn_not_stored'
    http_status = 502


class StreamBeginningError(exceptions.NotRunError):
    """The events that the caller has of a stream are not known whole."""

    code = 'stream_beginning'


class TurnStore(Protocol):
    """Storage of turns and charges.

    :ivar parts: storage of the parts of streams that may be taken up.
    """

    parts: stream_recorders.PartStore

    def begin(self, message: messages.Begin) -> messages.Begun:
        """Reserve tokens and return the program's state."""

    def finish(self, message: messages.Finish) -> None:
        """Store a turn and settle the charge of its attempt."""

    def settle(self, message: messages.Finish) -> None:
        """Settle the charge of an attempt; retry a few times."""

    def change_version(self, message: messages.Begin) -> None:
        """Record that another version writes an attempt's stream."""

    def read_pages(
        self, stored: Sequence[messages.TurnLength]
    ) -> Iterator[bytes]:
        """Yield the bytes of stored turns in pages."""

    def place(self, attempt: str, worker: str) -> None:
        """Report the worker that a turn runs on."""


@attrs.define(eq=False)
class Turn:
    """A turn for which tokens are reserved, if it has a budget.

    Each stream that can be resumed is a turn, also outside a program.

    :param call: the caller's metadata.
    :param route: the route that the request matched.
    :param event_tokens: number of tokens charged for one event.
    :param request: body of the caller's request.
    :param worker: the worker that was reported to the store hosts.
    :param stream: the version that was reported to write its stream, if it
        begins one that can be resumed.
    :param origin: the version that began the stream that it resumes, if known.
    :param history: the previous turns, sent before the new input.
    :param open_turns: open turns of all hosts by worker, including this one,
        if the store hosts returned them.
    :param crash_weights: weights of the crashes of servers under the request
        and under others to its path, by fingerprint.
    :param start: the start of its program, if it is the first turn.
    :param is_open: whether the turn has not been stored or settled.
    :param recorder: keeps the events of its stream, if the stream may be taken
        up and the turn is stored.
    :param recording: writes the version of the stream, unless the turn was
        opened with it.
    """

    call: calls.Call
    route: routes.Route
    event_tokens: int
    request: bytes
    worker: str = ''
    stream: messages.StreamVersion | None = None
    origin: messages.StreamVersion | None = None
    history: histories.History = histories.History()
    open_turns: Mapping[str, int] | None = None
    crash_weights: Mapping[str, int] = attrs.Factory(dict)
    start: program_admissions.ProgramStart | None = None
    is_open: bool = True
    recorder: stream_recorders.StreamRecorder | None = None
    recording: gevent.Greenlet | None = None

    @property
    def is_charged(self) -> bool:
        """Whether the turn is charged to a budget."""
        return bool(self.call.program) and self.call.budget_tokens is not None

    @property
    def resumes_stream(self) -> bool:
        """Whether the caller already has events of the stream."""
        return self.route.is_resumable and bool(self.call.last_event)

    @property
    def is_recorded(self) -> bool:
        """Whether the events of its stream are needed by other hosts."""
        return self.route.is_retained and self.route.is_resumable

    @property
    def retain_ms(self) -> float:
        """How long the charge and the stream's version are kept."""
        if self.stream is None:
            return self.route.retain_ms
        return max(self.route.retain_ms, self.route.timeout_ms)

    @property
    def record_name(self) -> str:
        """The name under which the store hosts keep the attempt."""
        return self.scope(self.call.attempt)

    def wait_for_record(self) -> None:
        """Wait until store hosts know which version writes the stream.

        The caller's next attempt may come as soon as the stream breaks. Without
        a record it would be refused, so the first event waits a little.
        """
        if self.recording is not None:
            self.recording.join(clock.to_seconds(RECORD_TIMEOUT_MS))

    def record_events(self, received: Sequence[events.Event]) -> None:
        """Keep events, so that the caller may take the stream up after them.

        :param received: what the caller gets next.
        """
        if self.recorder is not None:
            self.recorder.record(received)

    def scope(self, name: str) -> str:
        """Return the name of a tenant's record.

        Callers choose the names of programs and attempts, so those of two
        tenants may be the same. No name of a tenant or in a header contains
        the separator.

        :param name: what the caller calls it; empty if there is none.
        """
        tenant = self.call.tenant
        return f'{tenant}{_SCOPE_END}{name}' if tenant and name else name

    def make_charge(
        self, tokens: int, is_settled: bool
    ) -> messages.Charge | None:
        """Return the charge for the turn, or ``None`` if it has no budget.

        :param tokens: tokens generated, or reserved if not settled.
        :param is_settled: whether the attempt has ended.
        """
        if not self.is_charged:
            return None
        continues = self.route.is_retained and not is_settled
        return messages.Charge(
            self.scope(self.call.program),
            self.record_name,
            tokens,
            is_settled,
            self.retain_ms,
            self.stream,
            self.scope(self.call.previous_turn) if continues else '',
        )

    def make_reservation(self) -> messages.Charge | None:
        """Return the charge to begin with, ``None`` if nothing is recorded.

        A stream without a budget is charged to itself, with no tokens.
        """
        if self.is_charged or self.stream is None:
            return self.make_charge(self.call.output_tokens, is_settled=False)
        return messages.Charge(
            self.record_name,
            self.record_name,
            tokens=0,
            is_settled=True,
            retain_ms=self.retain_ms,
            stream=self.stream,
        )


class TurnManager:
    """Open, store and close turns.

    :ivar histories: reads the histories of turns.
    :param store: storage of turns and charges.
    :param timer: the clock for waits; by default the system's.
    """

    def __init__(
        self, store: TurnStore, timer: clock.Clock | None = None
    ) -> None:
        """Create a manager for a store."""
        self.histories = histories.HistoryReader(
            store.read_pages, timer or clock.SystemClock()
        )
        self._store = store

    def open(
        self,
        call: calls.Call,
        route: routes.Route,
        event_tokens: int,
        request: bytes,
        worker: str = '',
        keys: fingerprints.Fingerprints | None = None,
        stream: messages.StreamVersion | None = None,
    ) -> Turn:
        """Reserve the turn's tokens and read its history.

        :param call: the caller's metadata.
        :param route: the route that the request matched.
        :param event_tokens: number of tokens charged for one event.
        :param request: body of the caller's request.
        :param worker: the worker that the turn will probably run on.
        :param keys: identify the request whichever attempt carries it.
        :param stream: the version that will probably write its stream, if it
            begins one that can be resumed.
        :raises BudgetExceededError: if the budget does not cover the turn.
        :raises UnknownProgramError: if the previous turn does not exist.
        :raises NotRunError: if the store can't be reached.
        """
        turn = Turn(call, route, event_tokens, request, worker, stream)
        if turn.is_recorded and not turn.resumes_stream:
            turn.recorder = self._make_recorder(turn, turn.record_name)
        previous = call.previous_turn if route.is_retained else ''
        if not (turn.is_charged or previous or turn.resumes_stream):
            self._record_stream(turn)
            return turn
        begun = self._begin(turn, previous, keys)
        turn.origin = begun.stream if turn.resumes_stream else None
        turn.crash_weights = begun.crash_weights
        turn.history = histories.History(tuple(begun.turns), begun.chain)
        turn.open_turns = begun.open_turns
        turn.start = program_admissions.find_start(
            call, begun.charges, turn.record_name
        )
        if not budgets.covers(call, begun.charges, turn.record_name):
            self.close(turn, 0)
            raise exceptions.BudgetExceededError(
                f'the budget of {call.budget_tokens} tokens does not cover'
                f' {call.output_tokens} more; {len(begun.charges)} attempts'
                ' are charged',
                step='budget',
                peer=call.program,
            )
        return turn

    def take_up(self, turn: Turn, event_log: events.EventLog) -> None:
        """Let a turn go on with a stream that an earlier attempt began.

        The turn is stored with the events of all attempts. A stream whose
        beginning is not known whole is refused, and its caller starts anew.

        :param turn: the turn, which has not been sent to a server.
        :param event_log: gets the events that the caller has.
        :raises NotRunError: if the beginning can't be read, or another attempt
            takes the stream up at the same time.
        """
        if not turn.is_recorded:
            return
        stream = turn.scope(turn.call.resumes)
        last_event = turn.call.last_event
        parts = self._store.parts.read(stream)
        beginning = None
        if last_event.isdecimal():
            beginning = stream_beginnings.compose_beginning(
                parts, int(last_event)
            )
        if beginning is None:
            raise StreamBeginningError(
                f'the events up to {last_event!r} of the stream of attempt'
                f' {turn.call.resumes!r} are not known',
                step='resume',
            )
        turn.recorder = self._make_recorder(
            turn,
            stream,
            stream_beginnings.next_take(parts),
            int(last_event),
        )
        turn.recorder.claim()
        event_log.restore(beginning)

    def update_worker(self, turn: Turn, worker: workers.Worker) -> None:
        """Report the worker of a turn to other hosts if it has changed.

        Waits until another version than reported before is recorded, since
        the stream could otherwise be resumed at the wrong one.

        :raises NotRunError: if that can't be recorded.
        """
        is_other = worker.instance != turn.worker
        turn.worker = worker.instance
        version = worker.entry.version
        if turn.stream is not None and turn.stream.version != version:
            self._change_version(turn, version)
        elif turn.is_charged and is_other:
            self._store.place(turn.record_name, turn.worker)

    def store(self, turn: Turn, event_log: events.EventLog) -> None:
        """Store a complete turn before its caller gets the end of the answer.

        :param turn: the turn.
        :param event_log: the events that the caller received.
        :raises TurnNotStoredError: if too few store hosts have confirmed the
            turn; this is no refusal, since the turn has run.
        """
        if turn.route.is_retained:
            record = messages.Turn(
                turn.record_name,
                turn.scope(turn.call.previous_turn),
                turn.request,
                event_log.content(),
            )
            finish = messages.Finish(
                turn.make_charge(event_log.count * turn.event_tokens, True),
                record,
                turn.route.retain_ms,
            )
            try:
                self._store.finish(finish)
            except exceptions.NotRunError as error:
                raise TurnNotStoredError(
                    error.message, step=error.step
                ) from error
            turn.is_open = False

    def close(self, turn: Turn, event_count: int) -> None:
        """Settle the charge of a turn in the background.

        :param turn: the turn.
        :param event_count: number of events that the caller received.
        """
        charge = turn.make_charge(
            event_count * turn.event_tokens, is_settled=True
        )
        if turn.is_open and charge is not None:
            turn.is_open = False
            gevent.spawn(self._store.settle, messages.Finish(charge))

    def _make_recorder(
        self, turn: Turn, stream: str, take: int = 0, after: int = 0
    ) -> stream_recorders.StreamRecorder:
        start = messages.StreamPart(
            stream, take, turn.record_name, after, 0, []
        )
        return stream_recorders.StreamRecorder(
            self._store.parts, start, turn.route.timeout_ms
        )

    def _record_stream(self, turn: Turn) -> None:
        """Record the version of a stream while its server begins to answer."""
        charge = turn.make_reservation()
        if charge is not None:
            turn.recording = gevent.spawn(
                self._store.settle, messages.Finish(charge)
            )

    def _change_version(self, turn: Turn, version: str) -> None:
        turn.stream = attrs.evolve(
            turn.stream, version=version, number=turn.stream.number + 1
        )
        logger.info(
            'stream version changed',
            request=turn.call.attempt,
            server_version=version,
            number=turn.stream.number,
        )
        self._store.change_version(
            messages.Begin(
                turn.make_reservation(),
                worker=turn.worker if turn.is_charged else '',
            )
        )

    def _begin(
        self,
        turn: Turn,
        previous: str,
        keys: fingerprints.Fingerprints | None,
    ) -> messages.Begun:
        charge = turn.make_charge(turn.call.output_tokens, is_settled=False)
        message = messages.Begin(
            charge,
            turn.scope(previous),
            turn.route.retain_ms,
            worker=turn.worker,
            fingerprints=[keys.request, keys.path] if keys else [],
            resumes=(
                turn.scope(turn.call.resumes) if turn.resumes_stream else ''
            ),
        )
        try:
            return self._store.begin(message)
        except exceptions.CarobforkError:
            # Some store hosts may have recorded the reservation.
            self.close(turn, 0)
            raise
