"""Address books: which entry hosts a caller uses, for as long as it may.

Callers ask the system which hosts to use. A program's home is named first;
calls that go there directly are not relayed by a second host.
"""

import json
import random
from collections.abc import Sequence
from urllib import parse as urls

import attrs

from carobfork import clock, exceptions
from carobfork.state import bundles
from carobfork.transport import connections

MAX_ANSWERS = 1000


@attrs.frozen
class _Answer:
    """Addresses, best first, and when they expire."""

    addresses: list[str]
    expires_ms: float


class AddressBook:
    """Know which entry host to use for which program.

    :param seeds: ``ip:port`` of at least one entry host.
    :param pinned: use only the seeds and ask for no others.
    :param timer: tells when an answer expires.
    """

    def __init__(
        self, seeds: Sequence[str], pinned: bool, timer: clock.Clock
    ) -> None:
        """Start without asking any host yet."""
        self._seeds = list(seeds)
        self._pinned = pinned
        self._timer = timer
        self._answers: dict[str, _Answer] = {}

    def choose(self, program: str = '') -> bundles.Address:
        """Return the host to use, a program's home if one is named.

        :raises NotRunError: no entry host answers.
        """
        if self._pinned:
            return parse_address(random.choice(self._seeds))
        answer = self._answers.get(program)
        if answer is None or self._timer.now_ms() >= answer.expires_ms:
            answer = self._ask(program)
            self._keep(program, answer)
        first = answer.addresses[0] if program else None
        return parse_address(first or random.choice(answer.addresses))

    def forget(self, program: str = '') -> None:
        """Ask again before the next request."""
        self._answers.pop(program, None)
        self._answers.pop('', None)

    def _keep(self, program: str, answer: _Answer) -> None:
        if len(self._answers) >= MAX_ANSWERS:
            self._answers.pop(next(iter(self._answers)))
        self._answers[program] = answer

    def _ask(self, program: str) -> _Answer:
        query = urls.urlencode({'program': program}) if program else ''
        request = connections.HttpRequest('GET', f'/v1/addresses?{query}')
        last_error = None
        for address in self._known():
            try:
                return self._ask_host(address, request)
            except exceptions.ConnectionFailedError as error:
                last_error = error
        raise exceptions.NotRunError(
            'no entry host answers', step='ask addresses'
        ) from last_error

    def _known(self) -> list[str]:
        """Return the hosts to ask in random order, the seeds at the end."""
        heard = {
            address
            for answer in self._answers.values()
            for address in answer.addresses
        }
        fresh = sorted(heard.difference(self._seeds))
        return [
            *random.sample(fresh, len(fresh)),
            *random.sample(self._seeds, len(self._seeds)),
        ]

    def _ask_host(
        self, address: str, request: connections.HttpRequest
    ) -> _Answer:
        with connections.Exchange(parse_address(address), request) as exchange:
            told = json.loads(exchange.read())
        expires_ms = self._timer.now_ms() + told['ttl_ms']
        return _Answer(told['addresses'] or self._seeds, expires_ms)


def parse_address(text: str) -> bundles.Address:
    """Parse ``ip:port``.

    :raises SettingsError: the text has another form.
    """
    ip, _, port = text.rpartition(':')
    if not ip or not port.isdecimal():
        raise exceptions.SettingsError(
            f'"{text}" is not of the form ip:port', step='parse'
        )
    return bundles.Address(ip, int(port))
