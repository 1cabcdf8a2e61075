"""Calls: what callers ask for, and the checks common to all kinds."""

import hmac

import attrs

from carobfork import exceptions
from carobfork.state import identifiers, programs, records


@attrs.frozen
class ModelCall:
    """A model call as a caller sends it.

    ``messages`` are the new messages only, as comma-separated JSON objects;
    the program's history goes before them. ``options`` is a JSON object with
    the remaining fields of the request.
    """

    program: str
    token: str
    key: str
    model: str
    messages: bytes
    options: bytes
    max_tokens: int
    after: str = ''
    """Key of the call that must come first, or nothing."""

    @property
    def digest(self) -> str:
        """Return what a repeated call must match."""
        return identifiers.digest(
            self.model.encode(), self.messages, self.options
        )


@attrs.frozen
class ServiceCall:
    """A service call as a caller sends it."""

    program: str
    token: str
    key: str
    service: str
    method: str
    path: str
    body: bytes
    content_type: str
    after: str = ''
    """Key of the call that must come first, or nothing."""

    @property
    def digest(self) -> str:
        """Return what a repeated call must match."""
        target = f'{self.method} {self.service} {self.path}'
        return identifiers.digest(target.encode(), self.body)


def authorise(program: programs.Program, token: str) -> None:
    """Check that a token opens a program.

    :raises ForbiddenError: it does not.
    """
    offered = identifiers.digest(token.encode())
    if not hmac.compare_digest(offered, program.token_digest):
        raise exceptions.ForbiddenError(
            'the token does not open this program', step='authorise'
        )


def require_open(program: programs.Program) -> None:
    """Check that a program takes calls.

    :raises BudgetExceededError: it ended because its time is spent.
    :raises ProgramClosedError: it has ended for another reason.
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


def match_digest(key: str, recorded: str, asked: str) -> None:
    """Check that a repeated key comes with the same request.

    :raises KeyReuseError: it does not.
    """
    if recorded != asked:
        raise exceptions.KeyReuseError(
            f'call key "{key}" was used with another request', step='admit'
        )


def recorded_answer(
    program: programs.Program, key: str, digest: str
) -> records.AnswerRecorded | None:
    """Return the answer recorded under a key, if there is one.

    :raises KeyReuseError: the key was used with another request.
    :raises UnknownOutcomeError: the call was sent, its outcome is unknown.
    """
    call = program.calls.get(key)
    if call is None:
        return None
    match_digest(key, call.digest, digest)
    if call.phase is programs.CallPhase.intended:
        raise unknown_outcome(call.target)
    return call.answer


def unknown_outcome(target: str) -> exceptions.UnknownOutcomeError:
    """Return the error for a call that was sent and not answered."""
    return exceptions.UnknownOutcomeError(
        'the call may have run; ask again under the same key',
        step='await answer',
        peer=target,
    )
