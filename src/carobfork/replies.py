"""Replies: what entry hosts answer to callers."""

import json

import attrs

from carobfork import exceptions
from carobfork.protocol import headers
from carobfork.transport import connections

ERROR_STATUS = 400


@attrs.frozen
class Reply:
    """A service's answer, or a model's whole answer."""

    status: int
    body: bytes
    outcome: exceptions.Outcome
    worker: str = ''
    """The backend server that answered."""


def read_reply(exchange: connections.Exchange) -> Reply:
    """Return a whole response.

    :raises CarobforkError: the response is one of this system's errors.
    """
    body = exchange.read()
    outcome = outcome_of(exchange)
    ours = outcome in {exceptions.Outcome.not_run, exceptions.Outcome.unknown}
    if exchange.status >= ERROR_STATUS and ours:
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
