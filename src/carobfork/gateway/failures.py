"""Convert errors of an exchange to what they tell about the call."""

import contextlib
from collections.abc import Iterator

from carobfork import exceptions
from carobfork.gateway import rooms

_ERRORS = (OSError, EOFError, exceptions.BadRequestError)
_STEP = 'relay'


class AnswerDroppedError(exceptions.UnknownOutcomeError):
    """The call was sent, but this host has no room for the answer.

    The server has not failed, and another one's answer would find no room,
    either.
    """

    code = 'answer_dropped'
    http_status = 502


@contextlib.contextmanager
def raise_as_failure(peer: str, *, sent: bool = True) -> Iterator[None]:
    """Convert errors of an exchange to failures of a call.

    :param sent: whether the call was sent, so that it may have run.
    :raises AnswerDroppedError: if there is no room for the answer.
    """
    try:
        yield
    except exceptions.ConnectionFailedError:
        raise
    except rooms.NoRoomError as error:
        raise AnswerDroppedError(
            error.message, step=_STEP, peer=peer
        ) from error
    except _ERRORS as error:
        raise exceptions.ConnectionFailedError(
            str(error), sent=sent, step=_STEP, peer=peer
        ) from error


@contextlib.contextmanager
def raise_as_refusal(peer: str) -> Iterator[None]:
    """Convert errors while a refusal's body is read to the refusal itself.

    The head has already declared that the call did not run.
    """
    try:
        yield
    except _ERRORS as error:
        raise exceptions.ServerRefusedError(
            f'the server refused the call, then failed: {error}',
            step=_STEP,
            peer=peer,
        ) from error
