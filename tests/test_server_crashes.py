"""Stop sending a request that crashes the servers that run it.

Guards against a request that ends server after server, because neither retries
within a host nor a caller's attempts at other hosts know of those before.
"""

import itertools
import unittest

import gevent

from tests import configurations, platform_hosts

FRONTS = 3
DEADLY = b'deadly'
LEARNING_SECONDS = 1
"""Time until all hosts know of a crash; the platform allows some seconds."""
MOST_RETRIES = 3
"""The platform's bound on what reaches servers after that, once the request
has crashed three."""
CRASHES = 3
CALLS = 12
PAUSE_SECONDS = 0.4


class CrashesTest(unittest.TestCase):
    """Requests that crash servers, at three entry hosts."""

    def setUp(self):
        """Start a deployment with servers that such a request crashes."""
        self.hosts = platform_hosts.Deployment(fronts=FRONTS)
        self.enterContext(self.hosts)
        for number in range(2, 5):
            self.hosts.add_backend(f't{number}', configurations.TOOLS)
        for backend in self.hosts.backends.values():
            backend.faults.crashes_on = DEADLY
        platform_hosts.wait_until(self.knows_servers, 'the servers')

    def knows_servers(self):
        """Tell whether all entry hosts know all servers."""
        return all(
            len(list(front.table)) == len(self.hosts.backends)
            for front in self.hosts.fronts.values()
        )

    def crashes(self):
        """Return when servers crashed."""
        return sorted(
            moment
            for backend in self.hosts.backends.values()
            for moment in backend.crashes
        )

    def repeat(self, path, count=CALLS):
        """Send the deadly request to the entry hosts in turn."""
        answers = []
        fronts = itertools.cycle(list(self.hosts.fronts))
        for front in itertools.islice(fronts, count):
            answers.append(
                self.hosts.ask(path, front=front, method='POST', body=DEADLY)
            )
            gevent.sleep(PAUSE_SECONDS)
        return answers

    def assert_stopped(self):
        """Check the platform's bound."""
        crashes = self.crashes()
        self.assertGreaterEqual(len(crashes), CRASHES)
        until = crashes[CRASHES - 1] + LEARNING_SECONDS
        retries = sum(moment > until for moment in crashes)
        self.assertLessEqual(retries, MOST_RETRIES)

    def test_a_deadly_request_is_stopped_at_all_hosts(self):
        """It is refused as not run, while other requests are served."""
        answers = self.repeat('/look/7')
        self.assert_stopped()
        self.assertEqual(answers[-1].status, 503)
        for front in self.hosts.fronts:
            self.assertEqual(self.hosts.ask('/look/7', front=front).status, 200)
