"""Read the turns before a request from the store hosts that hold them.

A conversation may be longer than a message or the memory of a host, so its
turns are listed first and read in pages.
"""

from collections.abc import Callable, Iterable, Iterator

import gevent
import structlog

from carobfork import clock, exceptions
from carobfork.memory import accounts
from carobfork.storage import chain_messages, links, messages

MAX_INLINE_BYTES = accounts.SMALL_BYTES
"""Longest chain that comes with the reply to ``Begin``. It needs no room, as
other small messages."""
REQUEST_TIMEOUT_MS = 300
"""Timeout of one request. It covers many round trips; a slower member is
skipped, because another one may hold the turn."""
RETRY_WINDOW_MS = 400
"""Time in which a turn that no member returns is asked for again. A member that
joins or reconnects takes that long; later the caller is refused, because
another entry host may reach more members."""
RETRY_AFTER_MS = 300
"""Delay suggested to callers: a lost connection is usually open again within
this time."""
_RETRY_INTERVAL_MS = 50
_STEP = 'storage'

logger = structlog.get_logger(part='storage')

RefusalCallback = Callable[[links.Link, messages.Refused], None]


class ChainReader:
    """Read chains of turns from the members of the storage group.

    A member lacks the turns that were written while it was down, so it can be
    that no single member holds a whole chain.

    :param member_links: links to the group's store hosts.
    :param nearest_disk: returns the member to ask first.
    :param on_refused: called with a member's link and its refusal.
    :param timer: measures waits.
    """

    def __init__(
        self,
        member_links: links.Links,
        nearest_disk: Callable[[], str],
        on_refused: RefusalCallback,
        timer: clock.Clock,
    ) -> None:
        """Create a reader that knows no member that reads turns."""
        self._links = member_links
        self._nearest_disk = nearest_disk
        self._on_refused = on_refused
        self._timer = timer
        self._sources: set[str] = set()

    def set_source(self, disk: str, reads_turns: bool) -> None:
        """Record whether a store host reads turns in parts, by its disk."""
        if reads_turns:
            self._sources.add(disk)
        else:
            self._sources.discard(disk)

    def list_turns(self, turn: str) -> tuple[list[messages.TurnLength], bytes]:
        """Return a turn and all turns before it, oldest first.

        :param turn: the attempt of the last turn; may be empty.
        :return: the turns that are to be read, and the bytes of those after
            them that members of an earlier build returned at once.
        :raises NotRunError: if no reachable member holds one of the turns.
        """
        turns: list[messages.TurnLength] = []
        chain = b''
        while turn:
            found = self._try_members(self._list_at, turn, turn)
            if found.chain:
                chain = found.chain + b''.join(self.read_pages(turns)) + chain
                turns = []
            turns = [*found.turns, *turns]
            turn = found.missing
        return turns, chain

    def read_pages(
        self, turns: Iterable[messages.TurnLength]
    ) -> Iterator[bytes]:
        """Yield the bytes of turns in pages of bounded length.

        :raises NotRunError: if no reachable member holds one of the turns.
        """
        for request in plan_pages(turns):
            page = self._ask_members(self._read_at, request)
            # The turns of a page may be held by different members.
            yield page or b''.join(map(self._read_part, request.parts))

    def _read_part(self, part: chain_messages.TurnPart) -> bytes:
        request = chain_messages.ReadTurns([part])
        return self._try_members(self._read_at, request, part.turn)

    def _try_members(self, ask: Callable, request, turn: str):
        """Return the result of asking the members for some time.

        :param turn: the turn that is wanted, for the error message.
        :raises NotRunError: if no member returns one in time.
        """
        until_ms = self._timer.now_ms() + RETRY_WINDOW_MS
        while True:
            found = self._ask_members(ask, request)
            if found is not None:
                return found
            if self._timer.now_ms() > until_ms:
                raise exceptions.NotRunError(
                    f'turn {turn} is out of reach',
                    step=_STEP,
                    retry_after_ms=RETRY_AFTER_MS,
                )
            gevent.sleep(clock.to_seconds(_RETRY_INTERVAL_MS))

    def _ask_members(self, ask: Callable, request):
        """Return the first result of asking the members one by one.

        :param ask: called with a link and the request; returns ``None`` if
            another member has to be asked.
        """
        for link in self._ordered_links():
            found = ask(link, request)
            if found is not None:
                return found
        return None

    def _ordered_links(self) -> list[links.Link]:
        nearest = self._nearest_disk()
        connected = [link for link in self._links.all() if link.is_connected]
        connected.sort(key=lambda link: link.member.disk != nearest)
        return connected

    def _list_at(self, link: links.Link, turn: str) -> messages.Begun | None:
        request = messages.Begin(
            None, previous=turn, wants_details=True, max_chain_bytes=0
        )
        reply = self._request(link, request)
        is_found = isinstance(reply, messages.Begun) and reply.knows_previous
        return reply if is_found else None

    def _read_at(
        self, link: links.Link, request: chain_messages.ReadTurns
    ) -> bytes | None:
        if link.member.disk not in self._sources:
            return None
        reply = self._request(link, request)
        content = getattr(reply, 'content', None) or b''
        return content if len(content) == request.length else None

    def _request(self, link: links.Link, request):
        try:
            reply = link.request(request, REQUEST_TIMEOUT_MS)
        except exceptions.ConnectionFailedError as error:
            logger.info('chain not read', reason=str(error))
            link.probe()
            return None
        if isinstance(reply, messages.Refused):
            self._on_refused(link, reply)
        return reply


def plan_pages(
    turns: Iterable[messages.TurnLength],
) -> Iterator[chain_messages.ReadTurns]:
    """Yield the requests that read turns in pages of bounded length."""
    parts: list[chain_messages.TurnPart] = []
    room = chain_messages.PAGE_BYTES
    for turn in turns:
        start = 0
        while start < turn.length:
            length = min(turn.length - start, room)
            parts.append(chain_messages.TurnPart(turn.turn, start, length))
            start += length
            room -= length
            if not room:
                yield chain_messages.ReadTurns(parts)
                parts, room = [], chain_messages.PAGE_BYTES
    if parts:
        yield chain_messages.ReadTurns(parts)
