"""Read the histories of turns page by page, within the room of the host.

The load: many callers continue long conversations at once, such as sub-agents
that all continue their parent's last turn. Each history is legal, all of them
together exceed the memory of the host.
"""

from collections.abc import Callable, Iterator, Sequence

import attrs

from carobfork import clock
from carobfork.gateway import rooms
from carobfork.storage import chain_messages, messages

PAGE_COPIES = 3
"""A page is held as it was received, in its frame and as it is sent."""

ReadPages = Callable[[Sequence[messages.TurnLength]], Iterator[bytes]]


@attrs.frozen
class History:
    """What a backend server gets before the input of a turn.

    :param stored: the turns to read from store hosts, oldest first.
    :param recent: the bytes of the turns after those.
    """

    stored: tuple[messages.TurnLength, ...] = ()
    recent: bytes = b''

    def __len__(self) -> int:
        """Return its length in bytes."""
        return sum(turn.length for turn in self.stored) + len(self.recent)


class HistoryReader:
    """Reader of the histories of all turns of a host.

    :param read_pages: yields the pages of stored turns.
    :param timer: the clock for waits.
    """

    def __init__(self, read_pages: ReadPages, timer: clock.Clock) -> None:
        """Create a reader with unbounded room."""
        self.room = rooms.Room(float('inf'), float('inf'), timer)
        self._read_pages = read_pages
        self._timer = timer

    def bound_memory(self, room_bytes: float) -> None:
        """Bound what pages on their way to servers fill."""
        self.room = rooms.Room(room_bytes, float('inf'), self._timer)

    def iter_pages(self, history: History) -> Iterator[bytes]:
        """Yield a history in pieces, and hold the room of a page meanwhile.

        :raises NoRoomError: before the first piece, if there is no room.
        :raises NotRunError: if store hosts can't be reached.
        """
        if history.stored:
            with self.room.hold() as room:
                room.reserve(PAGE_COPIES * chain_messages.PAGE_BYTES)
                yield from self._read_pages(history.stored)
        yield history.recent
