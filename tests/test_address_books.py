"""Address books: whom callers ask, for how long, and a program's home first."""

import json
import unittest

from carobfork import address_books, clock, exceptions
from carobfork.state import bundles
from carobfork.transport import servers

SEED = bundles.Address('127.0.77.1', 7101)
HOME = '127.0.77.2:7101'
OTHER = '127.0.77.3:7101'
TTL_MS = 5000


class AddressBookTest(unittest.TestCase):
    """A book with one seed, which names a home before another host."""

    def setUp(self):
        """Serve address answers and count the questions."""
        self.asked = []
        self.timer = clock.ManualClock()
        server = servers.HttpServer(SEED, self.answer)
        self.enterContext(server)
        self.book = address_books.AddressBook([str(SEED)], False, self.timer)

    def answer(self, environ, start_response):
        """Answer one question."""
        self.asked.append(environ['QUERY_STRING'])
        start_response('200 OK', [('Content-Type', 'application/json')])
        told = {'addresses': [HOME, OTHER], 'ttl_ms': TTL_MS}
        return [json.dumps(told).encode()]

    def test_home_first(self):
        """A program's requests go to its home, each time."""
        chosen = {str(self.book.choose('a.1.x')) for _ in range(20)}
        self.assertEqual(chosen, {HOME})
        self.assertEqual(self.asked, ['program=a.1.x'])

    def test_any_host_without_a_program(self):
        """Other requests are spread."""
        chosen = {str(self.book.choose()) for _ in range(100)}
        self.assertEqual(chosen, {HOME, OTHER})

    def test_answers_expire(self):
        """After its time an answer is asked for again."""
        self.book.choose('a.1.x')
        self.timer.advance(TTL_MS - 1)
        self.book.choose('a.1.x')
        self.assertEqual(len(self.asked), 1)
        self.timer.advance(1)
        self.book.choose('a.1.x')
        self.assertEqual(len(self.asked), 2)

    def test_forgotten_answers_are_asked_for_again(self):
        """A host that failed is not used on an old answer."""
        self.book.choose('a.1.x')
        self.book.forget('a.1.x')
        self.book.choose('a.1.x')
        self.assertEqual(len(self.asked), 2)

    def test_answers_are_bounded(self):
        """The book holds a bounded number of answers."""
        for number in range(address_books.MAX_ANSWERS + 5):
            self.book.choose(f'a.1.{number}')
        self.book.choose('a.1.0')
        self.assertEqual(len(self.asked), address_books.MAX_ANSWERS + 6)

    def test_no_host_answers(self):
        """Without any host, nothing ran."""
        book = address_books.AddressBook(['127.0.77.9:1'], False, self.timer)
        with self.assertRaises(exceptions.NotRunError):
            book.choose()
