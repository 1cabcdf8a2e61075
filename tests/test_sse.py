"""Server-sent events: whole events, resumed at a text offset."""

import unittest

from carobfork import exceptions
from carobfork.protocol import sse


class SkipTextTest(unittest.TestCase):
    """A stream from an offset on."""

    def setUp(self):
        """Encode a text with characters of several bytes, in two pieces."""
        self.text = 'Füredi mólő, 3. állás'
        events = [sse.encode_text(part) for part in self.text]
        self.pieces = [b''.join(events[:7]), b''.join(events[7:])]

    def read(self, offset):
        """Return the text that is left after an offset."""
        events = b''.join(sse.skip_text(self.pieces, offset))
        return ''.join(sse.texts(events))

    def test_every_character_border(self):
        """Each offset between characters brings exactly the rest."""
        rest = self.text
        while rest:
            rest = rest[1:]
            offset = len(self.text.encode()) - len(rest.encode())
            self.assertEqual(self.read(offset), rest)

    def test_offset_inside_a_character(self):
        """An offset that cuts a character is refused."""
        with self.assertRaises(exceptions.BadRequestError):
            self.read(2)

    def test_offset_behind_the_end(self):
        """An offset behind the end is refused."""
        with self.assertRaises(exceptions.BadRequestError):
            self.read(len(self.text.encode()) + 1)


class EventSplitterTest(unittest.TestCase):
    """A byte stream cut anywhere."""

    def test_cut_anywhere(self):
        """Whole events come out, and the closing one is noted."""
        stream = sse.encode_text('a') + sse.encode_text('b') + sse.DONE
        for cut, _ in enumerate(stream):
            splitter = sse.EventSplitter()
            events = splitter.feed(stream[:cut]) + splitter.feed(stream[cut:])
            self.assertEqual(''.join(sse.texts(events)), 'ab')
            self.assertTrue(splitter.closed)
