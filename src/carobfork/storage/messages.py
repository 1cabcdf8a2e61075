"""Define the messages between hosts and store hosts, and their frames.

Message classes register themselves with a decorator; a class's name is its tag
on the wire and on disk.
"""

import struct
from typing import Any, TypeVar

import attrs
import msgspec

from carobfork import exceptions
from carobfork.storage import groups, snapshots

MAX_FRAME_BYTES = 16_777_216
"""Longest accepted frame: it fits a page of records that includes the largest
request body."""
MAX_GIVE_RECORDS = 64
"""Most records in one ``Give`` message; bounds the work of the receiver."""
MAX_GIVE_BYTES = 1_048_576
"""Most bytes of several records in one ``Give`` message."""
_LENGTH_PREFIX = struct.Struct('>I')
MESSAGE_TYPES: dict[str, type] = {}  # noqa: WPS407

_DECODE_ERRORS = (KeyError, TypeError, ValueError, msgspec.MsgspecError)
Message = TypeVar('Message')


class MessageTooLongError(exceptions.NotRunError):
    """A message does not fit a frame, so it was not sent."""

    code = 'message_too_long'


class UnknownMessageError(exceptions.BadRequestError):
    """A frame holds no message that this build knows.

    :param number: its request number.
    """

    code = 'unknown_message'

    def __init__(self, message: str, number: int) -> None:
        """Keep the number, with which the request can be refused."""
        super().__init__(message, step='decode')
        self.number = number


def register(message_type: type[Message]) -> type[Message]:
    """Register a message class under its name."""
    MESSAGE_TYPES[message_type.__name__] = message_type
    return message_type


@register
@attrs.frozen
class Turn:
    """A complete turn as it is stored.

    :param attempt: the attempt that ran it, which also names the turn.
    :param previous: the turn that it continues, if any.
    :param request: the body of the request.
    :param events: the output of the backend server.
    """

    attempt: str
    previous: str
    request: bytes
    events: bytes


@attrs.frozen
class StreamVersion:
    """The software version of the backend servers that write a stream.

    :param service: the servers' service.
    :param version: empty if it is unknown.
    :param number: number of the choice within the attempt, from 1; the highest
        one holds.
    """

    service: str
    version: str
    number: int = 1


@attrs.frozen
class StreamPart:
    """Consecutive events of a stream that one attempt brings to its caller.

    :param stream: the attempt that brought the stream's first event.
    :param take: number of times that the stream had been taken up before this
        attempt, 0 for the attempt that began it.
    :param attempt: the attempt.
    :param after: identifier of the last event that the caller had before; 0 if
        it had none.
    :param position: number of events of the attempt before these.
    :param events: identifier and data of each event. An attempt that takes the
        stream up writes a part without events first.
    """

    stream: str
    take: int
    attempt: str
    after: int
    position: int
    events: list[tuple[int, bytes]]


@register
@attrs.frozen
class Charge:
    """The tokens that one attempt takes from its program's budget.

    A stream without a budget is a program of its own that takes no tokens.

    :param is_settled: whether the attempt has ended; before that, the tokens
        are the most that it can generate.
    :param stream: the version that writes the attempt's stream, if it is one
        that can be resumed.
    :param previous: the turn that the attempt continues while it is not
        settled, if any; it is kept as long as the charge.
    :param part: a part of a stream, which is kept as a charge without tokens.
        Hosts of an earlier build read and copy it as one.
    """

    program: str
    attempt: str
    tokens: int
    is_settled: bool
    retain_ms: float
    stream: StreamVersion | None = None
    previous: str = ''
    part: StreamPart | None = None


@attrs.frozen
class TurnLength:
    """A stored turn and the length of its request and events in bytes."""

    turn: str
    length: int


@register
@attrs.frozen
class Begin:
    """Reserve tokens for an attempt and read the state that it depends on.

    :param previous: the turn that it continues, if any.
    :param wants_details: whether the reply should contain the chain's bytes
        and the open turns.
    :param worker: the backend server that it will probably run on.
    :param fingerprints: identify the request whichever attempt carries it.
    :param resumes: the attempt that began the stream that it resumes, if any.
    :param max_chain_bytes: the longest chain that the reply may contain;
        ``None`` for any, from senders that can't read turns by themselves.
    """

    charge: Charge | None
    previous: str = ''
    retain_ms: float = 0
    wants_details: bool = False
    worker: str = ''
    fingerprints: list[str] = attrs.Factory(list)
    resumes: str = ''
    max_chain_bytes: int | None = None


@register
@attrs.frozen
class Place:
    """An attempt runs on another backend server than announced before."""

    attempt: str
    worker: str


@register
@attrs.frozen
class Begun:
    """A member's state of a program.

    :param charges: tokens and whether they are settled, by attempt.
    :param knows_previous: whether the member holds the previous turn.
    :param chain: the bytes of the previous turns, oldest first.
    :param missing: the turn before those of the chain, if the member does not
        hold it.
    :param turns: the turns before those of the chain that the member holds,
        oldest first, to be read by ``ReadTurns``.
    :param open_turns: open turns by backend server, if details were requested.
    :param crash_weights: weights of the crashes of servers under the request,
        by its fingerprints.
    :param stream: the version of the stream that is resumed or charged, if
        the member knows it.
    """

    charges: dict[str, tuple[int, bool]]
    knows_previous: bool = True
    chain: bytes = b''
    missing: str = ''
    open_turns: dict[str, int] | None = None
    crash_weights: dict[str, int] = attrs.Factory(dict)
    stream: StreamVersion | None = None
    turns: list[TurnLength] = attrs.Factory(list)


@register
@attrs.frozen
class Finish:
    """Settle an attempt and store its turn, if there is one."""

    charge: Charge | None
    turn: Turn | None = None
    retain_ms: float = 0


@register
@attrs.frozen
class Done:
    """A request was carried out and its records are synced."""


@register
@attrs.frozen
class Adopt:
    """Adopt a group if it is newer than the known one."""

    group: groups.Group


@register
@attrs.frozen
class Recall:
    """Request the platform's state from a store host.

    :param revisions: the revisions that the sender knows, by kind.
    """

    revisions: dict[str, int] = attrs.Factory(dict)


@register
@attrs.frozen
class Recalled:
    """The group, and the deltas that the receiver lacks.

    :param changes: deltas by kind.
    :param since_outage_ms: time since the platform was last unreachable.
    """

    group: groups.Group
    changes: dict[str, snapshots.Delta]
    since_outage_ms: float


@register
@attrs.frozen
class Fetch:
    """Request one page of a member's records.

    :param place: the position in the listing at which the page starts.
    :param listing: the listing to continue, 0 for a new one.
    """

    place: int = 0
    listing: int = 0


@register
@attrs.frozen
class Records:
    """One page of a member's records.

    :param next_place: the position of the next page, 0 at the end.
    :param listing: the listing that the page belongs to.
    :param is_complete: whether the member holds all acknowledged records.
    """

    records: list[bytes]
    next_place: int
    listing: int
    is_complete: bool


@register
@attrs.frozen
class Give:
    """Transfer records to a member that may lack them."""

    records: list[bytes]


@register
@attrs.frozen
class Beat:
    """A heartbeat of an entry host, answered with ``News``.

    :param epoch: the epoch of the storage group that it knows.
    """

    epoch: int


@register
@attrs.frozen
class News:
    """A summary of a store host's state.

    :param group: the storage group, if the receiver's is older.
    :param revisions: the platform revisions that it knows, by kind.
    :param is_fresh: whether it currently follows the platform.
    :param grants_permits: whether it answers ``PermitRequest``.
    :param keeps_crashes: whether it answers ``Crash``.
    :param disk: identifies its disk; empty if it does not tell.
    :param grants_credits: whether it answers ``CreditRequest``.
    :param heard_ms: the time that the ``Report`` that this answers was sent
        at, by the sender's clock; 0 if it does not tell.
    :param reads_turns: whether it answers ``ReadTurns``.
    """

    group: groups.Group | None
    revisions: dict[str, int]
    is_fresh: bool
    grants_permits: bool = False
    keeps_crashes: bool = False
    disk: str = ''
    grants_credits: bool = False
    heard_ms: float = 0
    reads_turns: bool = False


@register
@attrs.frozen
class Presence:
    """A heartbeat of an entry host with its load report.

    It goes to one store host and is answered with ``Hosts``.

    :param address: address at which callers reach the entry host.
    :param zone: its failure domain.
    :param in_flight: its calls in flight by backend server.
    :param waiting: its calls that wait for a slot, by service.
    :param epoch: the epoch of the storage group that it knows.
    :param hosts_version: the version of the set of hosts that it knows.
    :param suspects: backend servers that have just failed its calls.
    :param waiting_ranks: its calls that wait for a slot, by rank and service.
    :param blocked_version: the version of the blocked requests that it knows.
    :param size: the processor that it can use for calls, in cores; 0 if it is
        unknown.
    :param used_size: the processor that calls use, in cores.
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
    waiting_ranks: dict[int, dict[str, int]] = attrs.Factory(dict)
    blocked_version: int = 0
    size: float = 0
    used_size: float = 0


@register
@attrs.frozen
class Crash:
    """A backend server has crashed while it had a request.

    :param fingerprint: identifies the request, or all requests to its path.
    :param server: identifies the server's process.
    :param has_output: whether a part of the answer had come.
    :param request: the request, if the fingerprint is that of its path.
    :param age_ms: time since the call ended that the crash broke.
    """

    fingerprint: str
    server: str
    has_output: bool
    request: str = ''
    age_ms: float = 0


@register
@attrs.frozen
class CrashCleared:
    """Servers have answered requests with a fingerprint that is blocked."""

    fingerprint: str


@register
@attrs.frozen
class PermitRequest:
    """Request a permit to send one request to a limited backend server.

    :param limit_per_s: the limit as the sender last heard it, or ``None`` if
        the server named none any more.
    :param age_ms: time since the sender heard that.
    :param max_wait_ms: the longest acceptable wait until the permit is valid.
    """

    worker: str
    limit_per_s: float | None
    age_ms: float
    max_wait_ms: float


@register
@attrs.frozen
class Permit:
    """The reply to ``PermitRequest``.

    :param limit_per_s: the limit that was heard last by any host, if any.
    :param wait_ms: time until the permit is valid; ``None`` if there is no
        permit.
    :param retry_ms: time after which another request may succeed.
    """

    limit_per_s: float | None
    wait_ms: float | None = None
    retry_ms: float = 0


@register
@attrs.frozen
class Hosts:
    """The state of all entry hosts as known to a store host.

    :param version: identifies the set of hosts.
    :param hosts: address, failure domain and whether it is leaving, by node;
        ``None`` if the receiver knows this version.
    :param in_flight: calls in flight of all other entry hosts, by backend
        server.
    :param waiting: waiting calls of all other entry hosts, by service.
    :param suspects: number of other entry hosts that suspect a backend
        server, by its name.
    :param waiting_ranks: waiting calls of all other entry hosts, by rank and
        service.
    :param blocked_version: identifies the set of blocked requests.
    :param blocked: how long requests stay blocked, in ms, by fingerprint;
        ``None`` if the receiver knows this version.
    :param sizes: processor of the entry hosts in cores, by node, sent with
        ``hosts``; a host of unknown size is missing.
    :param used_sizes: processor that calls use, in cores, by failure domain;
        ``None`` if the sender does not tell.
    :param full: the entry hosts that can hardly serve more callers.
    """

    version: int
    hosts: dict[str, tuple[str, str, bool]] | None
    in_flight: dict[str, int]
    waiting: dict[str, int]
    news: News
    suspects: dict[str, int] = attrs.Factory(dict)
    waiting_ranks: dict[int, dict[str, int]] = attrs.Factory(dict)
    blocked_version: int = 0
    blocked: dict[str, float] | None = None
    sizes: dict[str, float] = attrs.Factory(dict)
    used_sizes: dict[str, float] | None = None
    full: list[str] = attrs.Factory(list)


def answering_disk(reply: Any) -> str:
    """Return which disk the reply to a heartbeat names, or an empty string.

    :raises BadRequestError: if it is no reply to a heartbeat.
    """
    news = reply.news if isinstance(reply, Hosts) else reply
    if not isinstance(news, News):
        raise exceptions.BadRequestError(
            f'{type(reply).__name__} is no reply to a heartbeat', step='confirm'
        )
    return news.disk


@register
@attrs.frozen
class Report:
    """A heartbeat between store hosts with the reports of entry hosts.

    :param presences: the recent reports that the sender received directly.
    :param blocked: how long requests stay blocked, in ms, by fingerprint.
    :param sent_ms: when it is sent, by the sender's clock.
    """

    group: groups.Group
    presences: list[Presence]
    blocked: dict[str, float] = attrs.Factory(dict)
    sent_ms: float = 0


@register
@attrs.frozen
class Refused:
    """A request was not carried out.

    :param reason: ``stale`` if the sender's group is outdated, ``behind`` if
        the member's is, ``filling`` while the member still copies records,
        ``failed`` if the disk failed or the listing is gone, ``too_long`` if
        the reply exceeds a frame, ``unknown_message`` if the member does not
        know the request.
    :param group: the group that the member knows.
    """

    reason: str
    group: groups.Group


@attrs.frozen
class Envelope:
    """A message with its request number and the sender's epoch."""

    number: int
    epoch: int
    message: Any


def encode(envelope: Envelope) -> bytes:
    """Encode a message as a frame.

    :raises MessageTooLongError: if it is longer than receivers accept.
    """
    tag = type(envelope.message).__name__
    payload = msgspec.msgpack.encode(
        (envelope.number, envelope.epoch, tag, envelope.message)
    )
    if len(payload) > MAX_FRAME_BYTES:
        raise MessageTooLongError(
            f'{tag} takes {len(payload)} bytes, more than {MAX_FRAME_BYTES}',
            step='encode',
        )
    return _LENGTH_PREFIX.pack(len(payload)) + payload


def decode(payload: bytes) -> Envelope:
    """Decode the payload of a frame.

    :raises UnknownMessageError: if it is not a known message.
    :raises BadRequestError: if it is none at all.
    """
    try:
        number, epoch, tag, fields = msgspec.msgpack.decode(payload)
    except _DECODE_ERRORS as error:
        raise exceptions.BadRequestError(
            f'malformed storage message: {error!r}', step='decode'
        ) from error
    try:
        message = msgspec.convert(fields, MESSAGE_TYPES[tag])
    except _DECODE_ERRORS as unknown:
        raise UnknownMessageError(
            f'unknown storage message {tag!r}: {unknown!r}', number
        ) from unknown
    return Envelope(number, epoch, message)


def begun_bytes(buffered: bytearray) -> int:
    """Return the length of the frame that a buffer begins with, if known.

    :raises BadRequestError: if it is too long.
    """
    if len(buffered) < _LENGTH_PREFIX.size:
        return 0
    length = _LENGTH_PREFIX.unpack_from(buffered)[0]
    if length > MAX_FRAME_BYTES:
        raise exceptions.BadRequestError(
            f'a frame of {length} bytes is longer than {MAX_FRAME_BYTES}',
            step='read',
        )
    return length


def pop_frames(buffered: bytearray) -> list[bytes]:
    """Remove the complete frames from a buffer and return their payloads.

    :raises BadRequestError: if a frame is too long.
    """
    frames = []
    start = 0
    while len(buffered) - start >= _LENGTH_PREFIX.size:
        length = _LENGTH_PREFIX.unpack_from(buffered, start)[0]
        if length > MAX_FRAME_BYTES:
            raise exceptions.BadRequestError(
                f'a frame of {length} bytes is longer than {MAX_FRAME_BYTES}',
                step='read',
            )
        payload_start = start + _LENGTH_PREFIX.size
        if len(buffered) < payload_start + length:
            break
        frames.append(bytes(buffered[payload_start : payload_start + length]))
        start = payload_start + length
    del buffered[:start]  # noqa: WPS420
    return frames
