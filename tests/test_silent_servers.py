"""Sound backend servers that fall silent for a second or so and go on.

The tests guard against requests that are ended, refused or run twice though
their servers would have answered in time.
"""

import gevent

from tests import packet_filters, scripted_servers

PAUSES_SECONDS = (1.1, 1.5)
"""Longest times for which sound servers fall silent."""


def silence(context, seconds):
    """Hold a context open for some time, in the background."""

    def hold():
        with context:
            gevent.sleep(seconds)

    return gevent.spawn(hold)


class DroppedPacketsTest(scripted_servers.ScriptedCase):
    """A server whose host drops all packets for a while."""

    def remember(self, sock, attempt):
        """Answer whole and keep the socket."""
        self.sock = sock
        scripted_servers.send_whole(sock, attempt)

    def test_a_call_that_was_not_acknowledged_in_time(self):
        """A call that runs once is answered once its bytes are sent again."""
        for seconds in PAUSES_SECONDS:
            with self.subTest(seconds=seconds):
                self.scripted.script = self.remember
                self.ask()
                runs = self.scripted.runs
                dropping = silence(
                    packet_filters.drop_packets(self.sock), seconds
                )
                gevent.sleep(0)
                answer = self.ask()
                dropping.join()
                self.assertEqual((answer.status, answer.body), (200, b'whole'))
                self.assertEqual(self.scripted.runs, runs + 1)
