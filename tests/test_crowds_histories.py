"""Crowds of callers that continue one long conversation at once.

Guards against processes that ended by their memory: each entry host held the
whole history once for each caller, and each store host once for each reply.
"""

import gevent

from carobfork.storage import chain_messages, messages
from tests import plain_calls, test_crowds
from tests.soak import tenants

TURNS = 4
SUB_AGENTS = 10
OUTPUT = b'word1\nword2\nword3\nword4\n'

LONG_BYTES = 200_000
"""Length of a body that is longer than the configuration allows at first."""
RETRY_SECONDS = 0.1
PEERS = 16
REQUESTS = 500
"""Requests that a peer sends without reading the replies."""


class HistoryCrowdsTest(test_crowds.FleetCase):
    """Turns that continue a long history at once."""

    def setUp(self):
        """Wait until the entry host accepts long bodies."""
        super().setUp()
        body = bytes(LONG_BYTES)
        with gevent.Timeout(plain_calls.WAIT_SECONDS):
            while self.turn('first', '', body)[1].status != 200:
                gevent.sleep(RETRY_SECONDS)

    def turn(self, program, previous, body):
        """Send a turn and return its attempt and its answer."""
        attempt = plain_calls.new_attempt()
        headers = {
            'Accept': 'text/event-stream',
            **test_crowds.CALLER_KEY,
            'X-Program-Id': program,
            'X-Session-Id': attempt,
            'X-Token-Budget': '10000',
            'X-Token-Count': '10,40',
            'X-Deadline-Ms': '8000',
            **({'X-Previous-Turn': previous} if previous else {}),
        }
        answer = plain_calls.ask(
            self.fleet.address('front-0'),
            '/chat/1',
            method='POST',
            body=body,
            headers=headers,
            attempt=attempt,
        )
        return attempt, answer

    def test_sub_agents(self):
        """All processes stay within their memory and go on serving."""
        program = plain_calls.new_attempt()
        previous = ''
        for _ in range(TURNS):
            body = bytes(test_crowds.BODY_BYTES)
            previous, answer = self.turn(program, previous, body)
            self.assertEqual(answer.status, 200)
        agents = [
            gevent.spawn(self.turn, program, previous, b'input')
            for _ in range(SUB_AGENTS)
        ]
        gevent.joinall(agents, timeout=plain_calls.WAIT_SECONDS)
        gevent.killall(agents)
        self.assertEqual(self.ask(b'ordinary').status, 200)
        self.check_hosts()
        attempt, answer = self.turn(program, previous, b'input')
        self.assertEqual(answer.status, 200)
        turn = bytes(test_crowds.BODY_BYTES) + OUTPUT
        bodies = [
            backend.bodies.get(attempt) for backend in self.fleet.served()
        ]
        self.assertTrue(b'%binput' % (TURNS * turn) in bodies)

    def test_peers_that_read_nothing(self):
        """A store host holds a bounded number of replies.

        Guards against store hosts that ended by their memory, and with them
        the turns of all callers, since a peer was frozen or cut off.
        """
        body = bytes(test_crowds.BODY_BYTES)
        name, answer = self.turn(plain_calls.new_attempt(), '', body)
        self.assertEqual(answer.status, 200)
        part = chain_messages.TurnPart(
            f'{tenants.KEPT}\n{name}', 0, chain_messages.PAGE_BYTES
        )
        frame = messages.encode(
            messages.Envelope(1, 0, chain_messages.ReadTurns([part]))
        )
        process = self.fleet.stores['store-0'].process
        address = (process.address.ip, process.address.port)
        with test_crowds.open_crowd(
            address, lambda _is_whole: [frame * REQUESTS], PEERS
        ):
            gevent.sleep(test_crowds.SETTLE_SECONDS)
            self.check_hosts()
        self.check_hosts()
        self.assertEqual(self.ask(b'ordinary').status, 200)
