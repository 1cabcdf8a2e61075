"""Relay subjects: an entry host and a bare relay under the same load."""

import json
import statistics
import time
from collections.abc import Callable, Iterator

import attrs
import gevent

from carobfork.protocol import headers
from carobfork.state import bundles
from carobfork.transport import connections
from carobfork_standins import batching, lab_processes, labs, layouts

ENTRY = 'entry-1'
BARE = 'bare'
STREAMS = 10
SHORT_CALLS = 300
SHORT_TOKENS = 2
LONG_TOKENS = 600
SLOW_READERS = 10
SLOW_TOKENS = 4000
GAP_STREAMS = 2
SLOW_PAUSE_SECONDS = 0.5
_US = 1_000_000
_MS = 1000
PACE = batching.Pace(step_ms=5, step_per_sequence_ms=0)
_PATH = '/v1/chat/completions'


@attrs.frozen
class Target:
    """A process to send calls to."""

    name: str
    address: bundles.Address
    fields: Callable[[], dict[str, str]]


@attrs.frozen
class Cost:
    """Processor time in microseconds."""

    request_us: float
    event_us: float


class Bench:
    """Drive both processes.

    :param lab: the running lab.
    """

    def __init__(self, lab: labs.Lab) -> None:
        """Start the bare relay."""
        self._lab = lab
        self._number = 0
        network = lab.layout.network
        own = bundles.Address(f'{network}.200', layouts.CALLER_PORT)
        engine = lab.layout.workers()[0].address
        lab.processes[BARE] = lab_processes.LabProcess(
            name=BARE,
            arguments=[
                'bench.bare_relay',
                own.ip,
                str(own.port),
                engine.ip,
                str(engine.port),
            ],
            address=own,
            log_path=lab.directory / 'bare.log',
        )
        lab.start(BARE)
        self.entry = Target(
            ENTRY, lab.processes[ENTRY].address, self._open_program
        )
        self.bare = Target(BARE, own, dict)

    def cost(self, target: Target) -> Cost:
        """Return what one request and one event cost."""
        shorts = self._spend(target, SHORT_CALLS, SHORT_TOKENS)
        longs = self._spend(target, STREAMS, LONG_TOKENS)
        short_us = shorts / SHORT_CALLS
        long_us = longs / STREAMS
        event_us = (long_us - short_us) / (LONG_TOKENS - SHORT_TOKENS)
        return Cost(short_us - SHORT_TOKENS * event_us, event_us)

    def gap_ms(self, slow_readers: int) -> float:
        """Return the mean time between events beside slow readers."""
        # All slow readers follow one call, which takes one slot.
        fields = self.entry.fields()
        slow = [
            gevent.spawn(self._read_slowly, fields) for _ in range(slow_readers)
        ]
        gevent.sleep(1)
        gaps = self._gaps()
        gevent.killall(slow)
        return statistics.mean(gaps)

    def _gaps(self) -> list[float]:
        readers = [
            gevent.spawn(list, self._times(self.entry, LONG_TOKENS))
            for _ in range(GAP_STREAMS)
        ]
        gevent.joinall(readers, raise_error=True)
        return [_mean_gap_ms(reader.get()) for reader in readers]

    def _spend(self, target: Target, count: int, tokens: int) -> float:
        """Return the processor time of a number of calls, in us."""
        fields = [target.fields() for _ in range(count)]
        before = self._lab.cpu_seconds(target.name)
        waiting = iter(fields)
        workers = [
            gevent.spawn(self._drain, target, waiting, tokens)
            for _ in range(STREAMS)
        ]
        gevent.joinall(workers, raise_error=True)
        return (self._lab.cpu_seconds(target.name) - before) * _US

    def _drain(self, target: Target, waiting: Iterator, tokens: int) -> None:
        for fields in waiting:
            with self._call(target, fields, tokens) as exchange:
                exchange.read()

    def _times(self, target: Target, tokens: int) -> Iterator[float]:
        with self._call(target, target.fields(), tokens) as exchange:
            for _ in exchange.pieces():
                yield time.monotonic()

    def _read_slowly(self, fields: dict[str, str]) -> None:
        with self._call(
            self.entry, fields, SLOW_TOKENS, 'Which rail?'
        ) as exchange:
            for _ in exchange.pieces():
                gevent.sleep(SLOW_PAUSE_SECONDS)

    def _call(
        self,
        target: Target,
        fields: dict[str, str],
        tokens: int,
        text: str = '',
    ) -> connections.Exchange:
        self._number += 1
        text = text or f'Which rail? {self._number}'
        message = {'role': 'user', 'content': text}
        request = {
            'model': layouts.MODEL,
            'messages': [message],
            'max_tokens': tokens,
            'stream': True,
        }
        body = json.dumps(request).encode()
        return connections.Exchange(
            target.address, connections.HttpRequest('POST', _PATH, body, fields)
        )

    def _open_program(self) -> dict[str, str]:
        program = self._lab.session(ENTRY).open('quote')
        return {
            headers.PROGRAM: program.identifier,
            headers.TOKEN: program.token,
            headers.CALL: 'k',
        }


def _mean_gap_ms(times: list[float]) -> float:
    return (times[-1] - times[0]) * _MS / (len(times) - 1)
