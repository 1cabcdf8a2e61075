"""Verbs for callers over the central session class."""

from collections.abc import Sequence

from carobfork import sessions


def open_program(
    kind: str, addresses: Sequence[str], **options
) -> sessions.Program:
    """Open a program in a session of its own.

    :param kind: a program kind that the bundle lists.
    :param addresses: ``ip:port`` of at least one entry host.
    :param options: as ``sessions.Options`` lists them.
    :raises CarobforkError: no entry host opened it.
    """
    return sessions.Session(addresses, **options).open(kind)
