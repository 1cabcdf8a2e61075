"""Sessions: a caller's way to run programs.

A session learns which entry hosts to use, keeps the answer for as long as
it is valid, and retries only calls that were refused as not run.
"""

import contextlib
import json
import random
import secrets
from collections.abc import Callable, Iterator, Mapping, Sequence

import attrs
import gevent

from carobfork import (
    address_books,
    answer_streams,
    clock,
    exceptions,
    replies,
    retry_budgets,
)
from carobfork.protocol import headers
from carobfork.transport import connections

_OK = 200


@attrs.frozen
class Options:
    """How a session behaves.

    :param attempts: how often a call refused as not run is sent in all; the
        pauses between them outlast a takeover.
    :param stream_attempts: how often a model call is sent in all without
        bringing any text; it is safe to send again under its key.
    :param retry_delay_ms: pause before a retry, doubled each time.
    :param max_retry_delay_ms: longest pause before a retry.
    :param timeout_ms: longest silence of an entry host.
    :param pinned: use only the given addresses and ask for no others.
    """

    attempts: int = 12
    stream_attempts: int = 16
    retry_delay_ms: int = 100
    max_retry_delay_ms: int = 2000
    timeout_ms: int = 60_000
    pinned: bool = False


class Session:
    """Run programs through a set of entry hosts.

    :param addresses: ``ip:port`` of at least one entry host.
    :param options: overrides of the default options.
    """

    def __init__(self, addresses: Sequence[str], **options) -> None:
        """Start without asking any host yet."""
        self.options = Options(**options)
        self.retries = retry_budgets.RetryBudget()
        self._book = address_books.AddressBook(
            addresses, self.options.pinned, clock.SystemClock()
        )

    def open(self, kind: str) -> 'Program':
        """Open a program.

        :param kind: a program kind that the bundle lists.
        :raises CarobforkError: no entry host opened it.
        """
        return self.open_program({'kind': kind}, {})

    def open_program(
        self, request: Mapping[str, str | int], fields: Mapping[str, str]
    ) -> 'Program':
        """Open a program, or a sub-agent of the one that headers name."""
        body = json.dumps(request).encode()
        reply = self.exchange('POST', '/v1/programs', body, fields)
        opened = json.loads(reply.body)
        return Program(self, opened['program'], opened['token'])

    def exchange(
        self, method: str, path: str, body: bytes, fields: Mapping[str, str]
    ) -> replies.Reply:
        """Send a request and return the whole response.

        :raises CarobforkError: as the response or the connection tells.
        """
        self.retries.earn()
        for delay_ms in self.delays_ms(self.options.attempts):
            try:
                return self._exchange_once(method, path, body, fields)
            except exceptions.NotRunError as error:
                self.retries.spend(error)
                self.forget_addresses(fields)
                last_error = error
            pause_ms = max(delay_ms, last_error.retry_after_ms or 0)
            gevent.sleep(clock.to_seconds(pause_ms))
        raise last_error

    def delays_ms(self, attempts: int) -> Iterator[float]:
        """Yield the pause after each attempt, in ms, with jitter."""
        delay_ms = self.options.retry_delay_ms
        for _ in range(attempts):
            yield delay_ms * random.uniform(0.5, 1)  # noqa: WPS432
            delay_ms = min(delay_ms * 2, self.options.max_retry_delay_ms)

    def stream_delays_ms(self) -> Iterator[float]:
        """Yield the pause after each attempt that brought no text, in ms."""
        return self.delays_ms(self.options.stream_attempts)

    def forget_addresses(self, fields: Mapping[str, str]) -> None:
        """Ask for the entry hosts again before the next such request."""
        self._book.forget(fields.get(headers.PROGRAM, ''))

    def connect(
        self, method: str, path: str, body: bytes, fields: Mapping[str, str]
    ) -> connections.Exchange:
        """Return an exchange with one of the entry hosts.

        It is the home of the program that the headers name, if they do.
        """
        request = connections.HttpRequest(
            method, path, body, fields, self.options.timeout_ms
        )
        address = self._book.choose(fields.get(headers.PROGRAM, ''))
        return connections.Exchange(address, request)

    def _exchange_once(
        self, method: str, path: str, body: bytes, fields: Mapping[str, str]
    ) -> replies.Reply:
        try:
            with self.connect(method, path, body, fields) as exchange:
                return replies.read_reply(exchange)
        except exceptions.ConnectionFailedError as error:
            self.forget_addresses(fields)
            raise replies.lost_connection(error) from error


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
        self.last_key = ''
        self._session = session

    def __enter__(self) -> 'Program':
        """Return the program."""
        return self

    def __exit__(self, *failure) -> None:
        """End the program."""
        self.close()

    def chat(
        self,
        model: str,
        text: str,
        *,
        key: str = '',
        max_tokens: int = 256,
        on_restart: Callable[[], None] | None = None,
    ) -> Iterator[str]:
        """Ask a model and yield its answer as it comes.

        A broken stream is resumed where it broke.

        :param model: a model that the bundle lists.
        :param text: the new message; the history is kept by the system.
        :param key: call key; the same key never runs as another call.
        :param max_tokens: most tokens to generate.
        :param on_restart: called before the answer starts over, because its
            stream was lost; what was yielded before is then void. Without
            it a lost stream is raised.
        :raises StreamLostError: ask again under the same key.
        :raises CarobforkError: as the response tells.
        """
        request = {
            'model': model,
            'messages': [{'role': 'user', 'content': text}],
            'max_tokens': max_tokens,
            'stream': True,
        }
        body = json.dumps(request).encode()
        with self._in_order(key or secrets.token_hex(8)) as fields:
            answer = answer_streams.AnswerStream(
                self._session, body, fields, on_restart
            )
            for piece in answer.texts():
                self.worker = answer.worker
                yield piece
            self.worker = answer.worker

    def ask(self, model: str, text: str, **options) -> replies.Reply:
        """Ask a model and return its whole answer.

        Takes the options of ``chat`` and raises what it raises; an answer
        that starts over is read anew.
        """
        pieces: list[str] = []
        options['on_restart'] = pieces.clear
        for piece in self.chat(model, text, **options):
            pieces.append(piece)
        answer = ''.join(pieces).encode()
        return replies.Reply(_OK, answer, exceptions.Outcome.done, self.worker)

    def open_sub_agent(
        self, kind: str, *, tokens: int, calls: int, time_ms: int
    ) -> 'Program':
        """Open a sub-agent on a share of this program's budget.

        The sub-agent runs beside this program and ends with it.

        :param kind: a program kind that the bundle lists.
        :raises BudgetExceededError: the budget does not cover the share.
        """
        request = {
            'kind': kind,
            'tokens': tokens,
            'calls': calls,
            'time_ms': time_ms,
        }
        return self._session.open_program(request, self._fields(''))

    def connect(self, key: str, body: bytes) -> connections.Exchange:
        """Return the exchange of a model call, for callers that read it.

        :param key: call key.
        :param body: the JSON body of a chat completions request.
        """
        return self._session.connect(
            'POST', '/v1/chat/completions', body, self._fields(key)
        )

    def forget_home(self) -> None:
        """Ask for the program's home again before the next request."""
        self._session.forget_addresses(self._fields(''))

    def call(
        self,
        service: str,
        path: str,
        body: bytes = b'',
        *,
        key: str = '',
        method: str = 'POST',
    ) -> replies.Reply:
        """Call a plain service.

        :param service: a service that the bundle lists.
        :param path: the operation's path, such as ``/deposit``.
        :param body: passed through unchanged.
        :param key: call key; a repeated key gets the recorded answer.
        :raises CarobforkError: as the response tells.
        """
        with self._in_order(key or secrets.token_hex(8)) as fields:
            fields['Content-Type'] = 'application/json'
            return self._session.exchange(
                method, f'/v1/services/{service}{path}', body, fields
            )

    def close(self) -> None:
        """End the program; it takes no further calls."""
        path = f'/v1/programs/{self.identifier}'
        self._session.exchange('DELETE', path, b'', self._fields(''))

    @contextlib.contextmanager
    def _in_order(self, key: str) -> Iterator[dict[str, str]]:
        """Name the call that this one comes after, if it is a new one."""
        fields = self._fields(key)
        after = self.last_key
        if after and after != key:
            fields[headers.AFTER] = after
        self.last_key = key
        try:
            yield fields
        except BaseException:
            # A call that was refused will never come first.
            if self.last_key == key:
                self.last_key = after
            raise

    def _fields(self, key: str) -> dict[str, str]:
        return {
            headers.PROGRAM: self.identifier,
            headers.TOKEN: self.token,
            headers.CALL: key,
        }
