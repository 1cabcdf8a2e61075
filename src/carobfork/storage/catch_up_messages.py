"""Define the messages by which members copy records that they have missed."""

import attrs

from carobfork.storage import messages

MAX_ATTEMPTS = 256
"""Most attempts in one ``ReadRecords``; bounds the work of the receiver."""


@messages.register
@attrs.frozen
class ListChanges:
    """Request the attempts whose records have changed at a member.

    :param log: the change log that the sender has read before, if any.
    :param number: the last change of that log that it knows.
    """

    log: str = ''
    number: int = 0


@messages.register
@attrs.frozen
class Changes:
    """The reply to ``ListChanges``.

    :param log: the member's change log.
    :param number: the last change that is listed.
    :param forms: which records the member holds, by attempt, as in
        ``change_logs.make_form``.
    :param is_complete: whether the member holds all acknowledged records.
    """

    log: str
    number: int
    forms: dict[str, int]
    is_complete: bool


@messages.register
@attrs.frozen
class ReadRecords:
    """Request the records of some attempts, ``MAX_ATTEMPTS`` at most.

    It is answered with ``Records``; the next place is the number of attempts
    whose records the reply contains.
    """

    attempts: list[str]
