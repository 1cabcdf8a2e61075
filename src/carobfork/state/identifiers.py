"""Create and parse the identifiers of incarnations and programs.

A program's identifier contains the incarnation that opened it, so any host
locates the program without a directory: ``entry-1.4.k3jx...``.
"""

import hashlib
import secrets

import attrs

from carobfork import exceptions

_SEPARATOR = '.'
_RANDOM_BYTES = 9
_TOKEN_BYTES = 18


@attrs.frozen(order=True)
class Incarnation:
    """One life of an entry host's process.

    :param host: the host's name.
    :param number: its number, which the platform assigns.
    """

    host: str
    number: int

    def __str__(self) -> str:
        """Return ``host.number``."""
        return f'{self.host}{_SEPARATOR}{self.number}'

    @classmethod
    def parse(cls, text: str) -> 'Incarnation':
        """Parse ``host.number``.

        :raises UnknownProgramError: if the text has another form.
        """
        host, _, number = text.rpartition(_SEPARATOR)
        if not host or not number.isdecimal():
            raise exceptions.UnknownProgramError(
                f'"{text}" is not an incarnation', step='identify'
            )
        return cls(host=host, number=int(number))


def new_program_id(home: Incarnation) -> str:
    """Return a new program identifier that contains its home."""
    return f'{home}{_SEPARATOR}{secrets.token_urlsafe(_RANDOM_BYTES)}'


def home_of(program_id: str) -> Incarnation:
    """Return the incarnation that opened a program.

    :raises UnknownProgramError: if the identifier is malformed.
    """
    home, _, suffix = program_id.rpartition(_SEPARATOR)
    if not suffix:
        raise exceptions.UnknownProgramError(
            f'"{program_id}" is not a program identifier', step='identify'
        )
    return Incarnation.parse(home)


def new_token() -> str:
    """Return a random program token that cannot be guessed."""
    return secrets.token_urlsafe(_TOKEN_BYTES)


def digest(*parts: bytes) -> str:
    """Return the SHA-256 of the parts in hexadecimal.

    Each part is preceded by its length, so that the boundaries between parts
    count.
    """
    sha = hashlib.sha256()
    for part in parts:
        sha.update(len(part).to_bytes(8, 'big'))
        sha.update(part)
    return sha.hexdigest()
