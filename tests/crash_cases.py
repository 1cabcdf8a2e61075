"""Cases in which one request ends server after server."""

import contextlib
import itertools
import unittest

import gevent
from gevent import socket

from tests import configurations, plain_calls, platform_hosts

DEADLY = b'deadly'
CONTACT_SECONDS = 3
"""Time until hosts in touch know of a crash, as the platform states it."""
MOST_RETRIES = 3
"""The platform's bound on what reaches servers after that, once the request
has crashed three."""
CRASHES = 3
CALLS = 12
WARM_UP_CALLS = 20
SOUND_CALLS = 10
"""Between two deadly ones; they earn the retry of a call that stalls."""
PAUSE_SECONDS = 1.1


class CrashCase(unittest.TestCase):
    """Cases at three entry hosts."""

    crash_seconds = platform_hosts.CRASH_SECONDS

    def setUp(self):
        """Start a deployment and learn how long sound answers take."""
        self.hosts = platform_hosts.Deployment(
            fronts=3, crash_seconds=self.crash_seconds
        )
        self.enterContext(self.hosts)
        for number in range(2, 4):
            self.hosts.add_backend(f't{number}', configurations.TOOLS)
        platform_hosts.wait_until(self.knows_servers, 'the servers')
        for front in self.hosts.fronts:
            for _ in range(WARM_UP_CALLS):
                self.hosts.ask('/look/8', front=front)

    def knows_servers(self):
        """Tell whether all entry hosts know all servers."""
        return all(
            len(list(front.table)) == len(self.hosts.backends)
            for front in self.hosts.fronts.values()
        )

    def spoil(self, **faults):
        """Let the deadly request end servers, in some way."""
        for backend in self.hosts.backends.values():
            backend.faults.crashes_on = DEADLY
            for name, value in faults.items():
                setattr(backend.faults, name, value)

    def moments(self, name):
        """Return the moments of a kind at all servers."""
        return sorted(
            moment
            for backend in self.hosts.backends.values()
            for moment in getattr(backend, name)
        )

    def repeat(self, send, count=CALLS, pause_seconds=PAUSE_SECONDS):
        """Send the deadly request to the entry hosts in turn."""
        for front in itertools.islice(
            itertools.cycle(list(self.hosts.fronts)), count
        ):
            for _ in range(SOUND_CALLS):
                self.hosts.ask('/look/8', front=front)
            answer = send(front)
            gevent.sleep(pause_seconds)
        return answer

    def ask(self, front):
        """Send the deadly request."""
        return self.hosts.ask(
            '/look/7', front=front, method='POST', body=DEADLY
        )

    def ask_and_leave(self, front, seconds=0.2, path='/look/7', **options):
        """Send the deadly request and leave before its server ends."""
        request = plain_calls.encode(
            path, method='POST', body=DEADLY, **options
        )
        address = self.hosts.address(front)
        with contextlib.closing(socket.create_connection(address)) as sock:
            sock.sendall(request)
            gevent.sleep(seconds)

    def assert_stopped(self):
        """Check the platform's bound."""
        crashes = self.moments('crashes')
        self.assertGreaterEqual(len(crashes), CRASHES)
        until = crashes[CRASHES - 1] + CONTACT_SECONDS
        retries = sum(
            moment > until for moment in self.moments('deadly_arrivals')
        )
        self.assertLessEqual(retries, MOST_RETRIES)
