"""Exceptions: one root, a code each, and the outcome they imply.

Every error carries the step and the peer at which it arose. The outcome
class tells a caller whether the refused work ran:

* ``not_run``: nothing left this system; the call may be sent again.
* ``unknown``: the call may have run; ask again under the same call key.
* ``failed``: the call ran and its backend server reported a failure.
"""

import enum


class Outcome(enum.StrEnum):
    """What is known about a call that was asked for."""

    done = 'done'
    not_run = 'not_run'
    unknown = 'unknown'
    failed = 'failed'


class CarobforkError(Exception):
    """Root of all errors raised by this package.

    :param message: what went wrong, as a short sentence.
    :param step: the step at which it arose, such as ``dispatch``.
    :param peer: the peer concerned, such as ``service/orders``.
    :param retry_after_ms: when a retry is worth trying, if known.
    """

    code = 'internal'
    outcome = Outcome.unknown
    http_status = 500
    is_frequent = False
    """Whether it comes in floods, so that it is counted rather than logged."""
    """Whether it may arise so often that logs show sums of it only."""

    def __init__(
        self,
        message: str,
        *,
        step: str = '',
        peer: str = '',
        retry_after_ms: int | None = None,
    ) -> None:
        """Keep the message, the step and the peer."""
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer
        self.retry_after_ms = retry_after_ms

    def __str__(self) -> str:
        """Return code, message, step and peer in one line."""
        where = f'step {self.step or "unknown"}'
        if self.peer:
            where = f'{where}, peer {self.peer}'
        return f'{self.code}: {self.message} ({where})'


class BadRequestError(CarobforkError):
    """The request is malformed; nothing ran."""

    code = 'bad_request'
    outcome = Outcome.not_run
    http_status = 400


class TooLargeError(BadRequestError):
    """The request is larger than this system accepts."""

    code = 'too_large'
    http_status = 413


class RequestTimeoutError(BadRequestError):
    """The caller took too long to send its request."""

    code = 'request_timeout'
    http_status = 408


class ForbiddenError(BadRequestError):
    """The caller's token does not open this program."""

    code = 'forbidden'
    http_status = 403


class UnknownProgramError(BadRequestError):
    """No live host knows the program."""

    code = 'unknown_program'
    http_status = 404


class ProgramClosedError(BadRequestError):
    """The program has ended and takes no further calls."""

    code = 'program_closed'
    http_status = 410


class KeyReuseError(BadRequestError):
    """The call key was used before with another request."""

    code = 'key_reuse'
    http_status = 409


class BudgetExceededError(BadRequestError):
    """The program's budget does not cover the call."""

    code = 'budget_exceeded'
    http_status = 402


class NotRunError(CarobforkError):
    """The call was refused before anything left this system."""

    code = 'unavailable'
    outcome = Outcome.not_run
    http_status = 503


class OutOfOrderError(NotRunError):
    """The call that this one comes after has not arrived."""

    code = 'out_of_order'
    http_status = 409


class OverloadedError(NotRunError):
    """The call was refused because its rank's queue is full."""

    code = 'overloaded'
    http_status = 429


class StoppingError(NotRunError):
    """The host is stopping and takes no new work."""

    code = 'stopping'


class ServerRefusedError(NotRunError):
    """The backend server declared that it did not run the call."""

    code = 'server_refused'


class LeavingError(NotRunError):
    """The backend server refused the call because it is leaving."""

    code = 'leaving'


class UnknownOutcomeError(CarobforkError):
    """The call may have run; its outcome is not known yet."""

    code = 'outcome_unknown'
    outcome = Outcome.unknown
    http_status = 504


class StreamLostError(UnknownOutcomeError):
    """The stream cannot go on at this offset; ask again from offset 0."""

    code = 'stream_lost'
    http_status = 409


class CancelledError(UnknownOutcomeError):
    """The call was cancelled because its program is gone."""

    code = 'cancelled'
    http_status = 410


class CallFailedError(CarobforkError):
    """The call ran and its backend server reported a failure."""

    code = 'call_failed'
    outcome = Outcome.failed
    http_status = 502


class SettingsError(CarobforkError):
    """A settings or bundle file has problems; none of it was used."""

    code = 'bad_settings'
    outcome = Outcome.not_run
    problems: tuple[str, ...] = ()
    """Each problem of the file, where there are several."""


class PlatformError(CarobforkError):
    """The platform's object API did not answer or refused."""

    code = 'platform_unavailable'


class ConflictError(PlatformError):
    """A conditional update lost against another version.

    :param current_version: the version in force, 0 where none exists.
    """

    code = 'conflict'
    outcome = Outcome.not_run
    http_status = 409

    def __init__(self, message: str, current_version: int, **where) -> None:
        """Keep the version that won."""
        super().__init__(message, **where)
        self.current_version = current_version


class SealedError(NotRunError):
    """Another host has taken this incarnation's programs over."""

    code = 'sealed'


class ConnectionFailedError(CarobforkError):
    """A connection failed.

    :param sent: whether any byte of the request may have left.
    """

    code = 'connection_failed'

    def __init__(self, message: str, sent: bool, **where) -> None:
        """Keep whether the request may have reached the peer."""
        super().__init__(message, **where)
        self.sent = sent


def from_code(code: str, message: str, **where) -> CarobforkError:
    """Return the error that a code stands for.

    :param where: step and peer, as errors take them.
    """
    kind = _kinds_by_code(CarobforkError).get(code, CarobforkError)
    error = kind.__new__(kind)
    CarobforkError.__init__(error, message, **where)
    return error


def _kinds_by_code(root: type[CarobforkError]) -> dict[str, type]:
    kinds = {root.code: root}
    for kind in root.__subclasses__():
        kinds.update(_kinds_by_code(kind))
    return kinds
