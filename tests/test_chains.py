"""Test how the turns before a request are read from store hosts."""

import types
import unittest
from unittest import mock

from carobfork import clock, exceptions
from carobfork.storage import chain_messages, chains, messages

PAGE_BYTES = chain_messages.PAGE_BYTES


def make_link(disk, reply):
    """Return a link to a member whose reply to a request is known."""
    return types.SimpleNamespace(
        member=types.SimpleNamespace(disk=disk),
        is_connected=True,
        request=reply,
        probe=mock.Mock(),
    )


class PagesTest(unittest.TestCase):
    """The requests that read turns in pages."""

    def test_pages_are_bounded(self):
        """No page is longer than a reply may be, and no byte is left out."""
        turns = [
            messages.TurnLength('a', 3),
            messages.TurnLength('b', 2 * PAGE_BYTES),
            messages.TurnLength('c', 0),
            messages.TurnLength('d', 5),
        ]
        pages = list(chains.plan_pages(turns))
        lengths = [page.length for page in pages]
        self.assertEqual(lengths, [PAGE_BYTES, PAGE_BYTES, 8])
        parts = [part for page in pages for part in page.parts]
        for turn in turns:
            end = 0
            for part in parts:
                if part.turn == turn.turn:
                    self.assertEqual(part.start, end)
                    end += part.length
            self.assertEqual(end, turn.length)


class ReaderTest(unittest.TestCase):
    """Chains that members hold in parts or not at all."""

    def make_reader(self, *links):
        """Return a reader of members, the first of which is the nearest."""
        reader = chains.ChainReader(
            types.SimpleNamespace(all=lambda: list(links)),
            lambda: links[0].member.disk,
            mock.Mock(),
            clock.SystemClock(),
        )
        for link in links:
            reader.set_source(link.member.disk, reads_turns=True)
        return reader

    def test_member_of_an_earlier_build(self):
        """What a member returns at once precedes the turns listed after it."""

        def reply(request, _timeout_ms):
            if isinstance(request, chain_messages.ReadTurns):
                return chain_messages.TurnBytes(b'new')
            knows = request.previous == 'b'
            turns = [messages.TurnLength('b', 3)]
            return messages.Begun({}, knows, missing='a', turns=turns)

        link = make_link('x', reply)
        older = make_link('y', lambda *_: messages.Begun({}, chain=b'old'))
        reader = self.make_reader(link, older)
        self.assertEqual(reader.list_turns('b'), ([], b'oldnew'))

    def test_short_reply(self):
        """A part that is shorter than requested is not used."""
        link = make_link('x', lambda *_: chain_messages.TurnBytes(b'abc'))
        turns = [messages.TurnLength('b', 4)]
        with self.assertRaises(exceptions.NotRunError):
            list(self.make_reader(link).read_pages(turns))
