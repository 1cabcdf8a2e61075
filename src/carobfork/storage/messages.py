"""Messages between hosts about records, and their frames.

Message classes fill a registry by decorator; a class's name is its tag on
the wire.
"""

import struct
from typing import Any, TypeVar

import attrs
import msgspec

from carobfork import exceptions
from carobfork.storage import groups, snapshots

MAX_FRAME_BYTES = 16_777_216
"""Longest frame: a page of records with the largest body of a request."""
MAX_GIVE_RECORDS = 64
"""Records of one hand-over: with the largest bodies, below a frame."""
_LENGTH_PREFIX = struct.Struct('>I')
MESSAGE_TYPES: dict[str, type] = {}  # noqa: WPS407

_DECODE_ERRORS = (KeyError, TypeError, ValueError, msgspec.MsgspecError)
Message = TypeVar('Message')


def register(message_type: type[Message]) -> type[Message]:
    """Register a message class."""
    MESSAGE_TYPES[message_type.__name__] = message_type
    return message_type


@register
@attrs.frozen
class Turn:
    """What is kept of a turn that ended whole."""

    attempt: str
    previous: str
    request: bytes
    events: bytes


@register
@attrs.frozen
class Charge:
    """Tokens that one attempt counts for in its program's budget.

    :param is_settled: whether the attempt has ended; before that the tokens
        are the most that it may generate.
    """

    program: str
    attempt: str
    tokens: int
    is_settled: bool
    retain_ms: float


@register
@attrs.frozen
class Begin:
    """Reserve tokens for an attempt and read what it depends on.

    :param wants_details: whether the answer should hold the chain's bytes
        and the open turns.
    :param worker: the backend server that it will probably run on.
    """

    charge: Charge | None
    previous: str = ''
    retain_ms: float = 0
    wants_details: bool = False
    worker: str = ''


@register
@attrs.frozen
class Place:
    """An attempt runs on another backend server than was said before."""

    attempt: str
    worker: str


@register
@attrs.frozen
class Begun:
    """What a member knows of a program.

    :param charges: tokens by attempt, and whether they are settled.
    :param chain: the bytes of the turns before, oldest first.
    :param missing: the turn before those of the chain, if it is not here.
    :param open_turns: turns under way by backend server, if it was asked.
    """

    charges: dict[str, tuple[int, bool]]
    knows_previous: bool = True
    chain: bytes = b''
    missing: str = ''
    open_turns: dict[str, int] | None = None


@register
@attrs.frozen
class Finish:
    """Settle an attempt and keep its turn, if there is one."""

    charge: Charge | None
    turn: Turn | None = None
    retain_ms: float = 0


@register
@attrs.frozen
class Done:
    """A request was carried out and synced."""


@register
@attrs.frozen
class Adopt:
    """Take over a group that is newer than the one known."""

    group: groups.Group


@register
@attrs.frozen
class Recall:
    """Ask for what a host knows of the platform.

    :param revisions: what the asker knows, by kind.
    """

    revisions: dict[str, int] = attrs.Factory(dict)


@register
@attrs.frozen
class Recalled:
    """The group, and what the asker lacks of other kinds.

    :param since_outage_ms: since the platform was last out of reach.
    """

    group: groups.Group
    changes: dict[str, snapshots.Delta]
    since_outage_ms: float


@register
@attrs.frozen
class Fetch:
    """Ask for records, from a place on.

    :param listing: which listing goes on, 0 for a new one.
    """

    place: int = 0
    listing: int = 0


@register
@attrs.frozen
class Records:
    """Records of a member.

    :param next_place: where to go on, 0 at the end.
    :param is_complete: whether the member holds all it should.
    """

    records: list[bytes]
    next_place: int
    listing: int
    is_complete: bool


@register
@attrs.frozen
class Give:
    """Hand records to a member that may lack them."""

    records: list[bytes]


@register
@attrs.frozen
class Beat:
    """A host is alive and asks for news.

    :param epoch: the storage group that it knows.
    """

    epoch: int


@register
@attrs.frozen
class News:
    """What a store host knows, in short.

    :param group: the storage group, where the asker's is older.
    :param revisions: of what it knows of the platform, by kind.
    :param is_fresh: whether it follows the platform at present.
    """

    group: groups.Group | None
    revisions: dict[str, int]
    is_fresh: bool


@register
@attrs.frozen
class Presence:
    """An entry host is alive and tells one store host what it does.

    :param address: where callers reach it.
    :param in_flight: its calls by backend server.
    :param waiting: its calls that wait for a slot, by service.
    :param epoch: the storage group that it knows.
    :param hosts_version: the set of hosts that it was told before.
    :param suspects: backend servers that have just failed its calls.
    """

    node: str
    address: str
    zone: str
    is_leaving: bool
    in_flight: dict[str, int] = attrs.Factory(dict)
    waiting: dict[str, int] = attrs.Factory(dict)
    epoch: int = 0
    hosts_version: int = 0
    suspects: list[str] = attrs.Factory(list)


@register
@attrs.frozen
class Hosts:
    """What a store host heard of all entry hosts.

    :param version: identifies the set of hosts.
    :param hosts: address, zone and whether it is leaving, by node; nothing
        where the asker has this version.
    :param in_flight: calls of all other entry hosts by backend server.
    :param waiting: calls of all other entry hosts that wait, by service.
    :param suspects: how many other entry hosts suspect a backend server.
    """

    version: int
    hosts: dict[str, tuple[str, str, bool]] | None
    in_flight: dict[str, int]
    waiting: dict[str, int]
    news: News
    suspects: dict[str, int] = attrs.Factory(dict)


@register
@attrs.frozen
class Report:
    """A store host tells another what it heard itself.

    :param presences: entry hosts that told it of themselves lately.
    """

    group: groups.Group
    presences: list[Presence]


@register
@attrs.frozen
class Refused:
    """A request was not carried out.

    :param reason: ``stale``, ``behind``, ``filling`` or ``failed``.
    :param group: the group that the member knows.
    """

    reason: str
    group: groups.Group


@attrs.frozen
class Envelope:
    """A message with its number and the sender's epoch."""

    number: int
    epoch: int
    message: Any


def encode(envelope: Envelope) -> bytes:
    """Return a frame."""
    tag = type(envelope.message).__name__
    payload = msgspec.msgpack.encode(
        (envelope.number, envelope.epoch, tag, envelope.message)
    )
    return _LENGTH_PREFIX.pack(len(payload)) + payload


def decode(payload: bytes) -> Envelope:
    """Return what a frame's payload holds.

    :raises BadRequestError: it is no message.
    """
    try:
        number, epoch, tag, fields = msgspec.msgpack.decode(payload)
        message = msgspec.convert(fields, MESSAGE_TYPES[tag])
    except _DECODE_ERRORS as error:
        raise exceptions.BadRequestError(
            f'this is no message: {error!r}', step='decode'
        ) from error
    return Envelope(number, epoch, message)


def pop_frames(buffered: bytearray) -> list[bytes]:
    """Take the whole frames out of a buffer.

    :raises BadRequestError: a frame is too long.
    """
    frames = []
    start = 0
    while len(buffered) - start >= _LENGTH_PREFIX.size:
        length = _LENGTH_PREFIX.unpack_from(buffered, start)[0]
        if length > MAX_FRAME_BYTES:
            raise exceptions.BadRequestError('a frame is too long', step='read')
        payload_start = start + _LENGTH_PREFIX.size
        if len(buffered) < payload_start + length:
            break
        frames.append(bytes(buffered[payload_start : payload_start + length]))
        start = payload_start + length
    del buffered[:start]  # noqa: WPS420
    return frames
