"""Define the calls of callers and the checks common to all kinds of calls."""

import hmac

import attrs

from carobfork import exceptions
from carobfork.state import identifiers, programs, records


@attrs.frozen
class ModelCall:
    """A model call as sent by a caller.

    ``messages`` holds only the new messages, as comma-separated JSON
    objects; the program's history is put before them. ``options`` is a JSON
    object with the remaining fields of the request.
    """

    program: str
    token: str
    key: str
    model: str
    messages: bytes
    options: bytes
    max_tokens: int
    after: str = ''
    """Key of the predecessor; empty if there is none."""

    @property
    def digest(self) -> str:
        """Digest that a retry under the same key must match."""
        return identifiers.digest(
            self.model.encode(), self.messages, self.options
        )


@attrs.frozen
class ServiceCall:
    """A service call as sent by a caller."""

    program: str
    token: str
    key: str
    service: str
    method: str
    path: str
    body: bytes
    content_type: str
    after: str = ''
    """Key of the predecessor; empty if there is none."""

    @property
    def digest(self) -> str:
        """Digest that a retry under the same key must match."""
        target = f'{self.method} {self.service} {self.path}'
        return identifiers.digest(target.encode(), self.body)


def authorise(program: programs.Program, token: str) -> None:
    """Check that a token is valid for a program.

    :raises ForbiddenError: if it is not.
    """
    offered = identifiers.digest(token.encode())
    if not hmac.compare_digest(offered, program.token_digest):
        raise exceptions.ForbiddenError(
            'the token is not valid for this program', step='authorise'
        )


def require_open(program: programs.Program) -> None:
    """Check that a program accepts calls.

    :raises BudgetExceededError: if it ended because its time is spent.
    :raises ProgramClosedError: if it ended for another reason.
    """
    reason = program.closed_reason or program.ending_reason
    if reason == programs.TIME_SPENT_REASON:
        raise exceptions.BudgetExceededError(
            f'the program ended: {reason}', step='admit'
        )
    if reason:
        raise exceptions.ProgramClosedError(
            f'the program ended: {reason}', step='admit'
        )


def match_digest(key: str, recorded: str, requested: str) -> None:
    """Check that a call key is used again only for the same request.

    :param key: the call's key.
    :param recorded: digest of the call that is known under the key.
    :param requested: digest of the new call.
    :raises KeyReuseError: if the digests differ.
    """
    if recorded != requested:
        raise exceptions.KeyReuseError(
            f'call key "{key}" was used with another request', step='admit'
        )


def recorded_answer(
    program: programs.Program, key: str, digest: str
) -> records.AnswerRecorded | None:
    """Return the answer recorded under a key, or None.

    :raises KeyReuseError: if the key was used for another request.
    :raises UnknownOutcomeError: if the call may have been sent but has no
        recorded answer.
    """
    call = program.calls.get(key)
    if call is None:
        return None
    match_digest(key, call.digest, digest)
    if call.phase is programs.CallPhase.intended:
        raise unknown_outcome(call.target)
    return call.answer


def unknown_outcome(target: str) -> exceptions.UnknownOutcomeError:
    """Return the error for a call that was sent but not answered.

    :param target: peer of the error, such as the service or the server.
    """
    return exceptions.UnknownOutcomeError(
        'the call may have run; ask again under the same key',
        step='await answer',
        peer=target,
    )
