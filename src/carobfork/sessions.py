"""Sessions: a caller's way to run programs.

A session learns which entry hosts to use, keeps the answer for as long as
it is valid, and retries only calls that were refused as not run.
"""

import json
import random
import secrets
from collections.abc import Iterator, Mapping, Sequence

import attrs
import gevent

from carobfork import clock, exceptions, retry_budgets
from carobfork.protocol import headers, sse
from carobfork.state import bundles
from carobfork.transport import connections

_OK = 200
_OK_LIMIT = 400


@attrs.frozen
class Options:
    """How a session behaves.

    :param attempts: how often a call refused as not run is sent in all.
    :param retry_delay_ms: pause before a retry, doubled each time.
    :param timeout_ms: longest silence of an entry host.
    :param pinned: use only the given addresses and ask for no others.
    """

    attempts: int = 4
    retry_delay_ms: int = 100
    timeout_ms: int = 60_000
    pinned: bool = False


@attrs.frozen
class Reply:
    """A service's answer."""

    status: int
    body: bytes
    outcome: exceptions.Outcome
    worker: str = ''
    """The backend server that answered."""


class Session:
    """Run programs through a set of entry hosts.

    :param addresses: ``ip:port`` of at least one entry host.
    :param options: overrides of the default options.
    """

    def __init__(self, addresses: Sequence[str], **options) -> None:
        """Start without asking any host yet."""
        self.options = Options(**options)
        self.retries = retry_budgets.RetryBudget()
        self._seeds = list(addresses)
        self._addresses: list[str] = []
        self._expires_ms = 0
        self._clock = clock.SystemClock()

    def open(self, kind: str) -> 'Program':
        """Open a program.

        :param kind: a program kind that the bundle lists.
        :raises CarobforkError: no entry host opened it.
        """
        body = json.dumps({'kind': kind}).encode()
        reply = self.exchange('POST', '/v1/programs', body, {})
        opened = json.loads(reply.body)
        return Program(self, opened['program'], opened['token'])

    def addresses(self) -> list[str]:
        """Return the entry hosts to use, asking again when expired."""
        if self.options.pinned:
            return self._seeds
        now_ms = self._clock.now_ms()
        if not self._addresses or now_ms >= self._expires_ms:
            answer = self._ask_addresses()
            self._addresses = answer['addresses']
            self._expires_ms = now_ms + answer['ttl_ms']
        return self._addresses

    def exchange(
        self, method: str, path: str, body: bytes, fields: Mapping[str, str]
    ) -> Reply:
        """Send a request and return the whole response.

        :raises CarobforkError: as the response or the connection tells.
        """
        self.retries.earn()
        for delay_ms in self.delays_ms():
            try:
                return self._exchange_once(method, path, body, fields)
            except exceptions.NotRunError as error:
                self.retries.spend(error)
                last_error = error
            pause_ms = max(delay_ms, last_error.retry_after_ms or 0)
            gevent.sleep(clock.to_seconds(pause_ms))
        raise last_error

    def delays_ms(self) -> Iterator[float]:
        """Yield the pause after each attempt, in ms, with jitter."""
        delay_ms = self.options.retry_delay_ms
        for _ in range(self.options.attempts):
            yield delay_ms * random.uniform(0.5, 1)  # noqa: WPS432
            delay_ms *= 2

    def connect(
        self, method: str, path: str, body: bytes, fields: Mapping[str, str]
    ) -> connections.Exchange:
        """Return an exchange with one of the entry hosts."""
        request = connections.HttpRequest(
            method, path, body, fields, self.options.timeout_ms
        )
        return connections.Exchange(
            parse_address(random.choice(self.addresses())), request
        )

    def _exchange_once(
        self, method: str, path: str, body: bytes, fields: Mapping[str, str]
    ) -> Reply:
        try:
            with self.connect(method, path, body, fields) as exchange:
                return read_reply(exchange)
        except exceptions.ConnectionFailedError as error:
            self._addresses = []
            raise lost_connection(error) from error

    def _ask_addresses(self) -> dict:
        known = [*self._addresses, *self._seeds]
        for address in random.sample(known, len(known)):
            request = connections.HttpRequest('GET', '/v1/addresses')
            try:
                with connections.Exchange(
                    parse_address(address), request
                ) as exchange:
                    return json.loads(exchange.read())
            except exceptions.ConnectionFailedError as error:
                last_error = error
        raise exceptions.NotRunError(
            'no entry host answers', step='ask addresses', peer=address
        ) from last_error


class Program:
    """A program: calls that run in order, under one budget.

    :param session: how to reach the entry hosts.
    :param identifier: the program's identifier.
    :param token: opens the program; keep it secret.
    """

    def __init__(self, session: Session, identifier: str, token: str) -> None:
        """Remember how to reach the program."""
        self.identifier = identifier
        self.token = token
        self.worker = ''
        self._session = session

    def __enter__(self) -> 'Program':
        """Return the program."""
        return self

    def __exit__(self, *failure) -> None:
        """End the program."""
        self.close()

    def chat(
        self, model: str, text: str, *, key: str = '', max_tokens: int = 256
    ) -> Iterator[str]:
        """Ask a model and yield its answer as it comes.

        :param model: a model that the bundle lists.
        :param text: the new message; the history is kept by the system.
        :param key: call key; the same key never runs as another call.
        :param max_tokens: most tokens to generate.
        :raises CarobforkError: as the response tells.
        """
        request = {
            'model': model,
            'messages': [{'role': 'user', 'content': text}],
            'max_tokens': max_tokens,
            'stream': True,
        }
        body = json.dumps(request).encode()
        with self.connect(key or secrets.token_hex(8), body) as exchange:
            if exchange.status >= _OK_LIMIT:
                raise decode_error(exchange.read())
            self.worker = exchange.header(headers.WORKER)
            yield from _texts(exchange)

    def ask(self, model: str, text: str, **options) -> Reply:
        """Ask a model and return its whole answer.

        Takes the options of ``chat`` and raises what it raises.
        """
        answer = ''.join(self.chat(model, text, **options))
        return Reply(_OK, answer.encode(), exceptions.Outcome.done, self.worker)

    def connect(self, key: str, body: bytes) -> connections.Exchange:
        """Return the exchange of a model call, for callers that read it.

        :param key: call key.
        :param body: the JSON body of a chat completions request.
        """
        return self._session.connect(
            'POST', '/v1/chat/completions', body, self._fields(key)
        )

    def call(
        self,
        service: str,
        path: str,
        body: bytes = b'',
        *,
        key: str = '',
        method: str = 'POST',
    ) -> Reply:
        """Call a plain service.

        :param service: a service that the bundle lists.
        :param path: the operation's path, such as ``/deposit``.
        :param body: passed through unchanged.
        :param key: call key; a repeated key gets the recorded answer.
        :raises CarobforkError: as the response tells.
        """
        fields = self._fields(key or secrets.token_hex(8))
        fields['Content-Type'] = 'application/json'
        return self._session.exchange(
            method, f'/v1/services/{service}{path}', body, fields
        )

    def close(self) -> None:
        """End the program; it takes no further calls."""
        path = f'/v1/programs/{self.identifier}'
        self._session.exchange('DELETE', path, b'', self._fields(''))

    def _fields(self, key: str) -> dict[str, str]:
        return {
            headers.PROGRAM: self.identifier,
            headers.TOKEN: self.token,
            headers.CALL: key,
        }


def read_reply(exchange: connections.Exchange) -> Reply:
    """Return a whole response.

    :raises CarobforkError: the response is one of this system's errors.
    """
    body = exchange.read()
    outcome = outcome_of(exchange)
    ours = outcome in {exceptions.Outcome.not_run, exceptions.Outcome.unknown}
    if exchange.status >= _OK_LIMIT and ours:
        raise decode_error(body)
    worker = exchange.header(headers.WORKER)
    return Reply(exchange.status, body, outcome, worker)


def outcome_of(exchange: connections.Exchange) -> exceptions.Outcome:
    """Return the outcome class that a response tells."""
    return exceptions.Outcome(
        exchange.header(headers.OUTCOME) or exceptions.Outcome.done
    )


def decode_error(body: bytes) -> exceptions.CarobforkError:
    """Return the error that a response's body describes."""
    try:
        fields = json.loads(body)['error']
    except (ValueError, LookupError):
        return exceptions.CarobforkError('the answer is not an error of ours')
    return error_from_fields(fields)


def error_from_fields(fields: dict) -> exceptions.CarobforkError:
    """Return the error that public fields describe."""
    error = exceptions.from_code(
        fields['code'],
        fields['message'],
        step=fields['step'],
        peer=fields['peer'],
        retry_after_ms=fields['retry_after_ms'],
    )
    error.outcome = exceptions.Outcome(fields['outcome'])
    return error


def lost_connection(
    error: exceptions.ConnectionFailedError,
) -> exceptions.CarobforkError:
    """Return what a failed connection to an entry host means."""
    kind = (
        exceptions.UnknownOutcomeError if error.sent else exceptions.NotRunError
    )
    return kind(error.message, step=error.step, peer=error.peer)


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


def _texts(exchange: connections.Exchange) -> Iterator[str]:
    splitter = sse.EventSplitter()
    for piece in exchange.pieces():
        for text in sse.texts(splitter.feed(piece)):
            if isinstance(text, dict):
                raise error_from_fields(text)
            yield text
