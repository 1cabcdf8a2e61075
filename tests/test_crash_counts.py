"""Stop a request whose crashes are hard to count.

Guards against crashes that are taken for one, weigh too little, are counted
under too many requests, or are not known to store hosts.
"""

import functools

import gevent

from tests import configurations, platform_hosts
from tests.crash_cases import (
    CONTACT_SECONDS,
    CRASHES,
    DEADLY,
    PAUSE_SECONDS,
    CrashCase,
)

TURN = {  # noqa: WPS407
    'Accept': 'text/event-stream',
    'X-Program-Id': 'p',
    'X-Session-Id': 'p',
    'X-Token-Budget': '10000',
    'X-Token-Count': '100,40',
}


class UnknownSuccessorTest(CrashCase):
    """Servers that start again while the registry can't be reached."""

    def test_crashes_of_one_server_in_an_outage(self):
        """Its entry names its first process all the time."""
        for name in ('t1', 't2', 't3'):
            self.hosts.store.remove('servers', name)
        platform_hosts.wait_until(self.knows_one_server, 'the last server')
        self.spoil()
        self.hosts.store.faults.down = True
        self.repeat(self.ask, count=8, pause_seconds=CONTACT_SECONDS + 1.5)
        self.assert_stopped()

    def knows_one_server(self):
        """Tell whether one server is left at all entry hosts."""
        return all(
            len(front.table.usable(configurations.TOOLS)) == 1
            for front in self.hosts.fronts.values()
        )


class ReportTest(CrashCase):
    """Store hosts that are away when servers end."""

    def test_crashes_while_all_store_hosts_are_away(self):
        """Hosts report them once the store hosts are back."""
        self.spoil()
        keepers = list(self.hosts.keepers)
        for name in keepers:
            self.hosts.keepers.pop(name).__exit__(None, None, None)
        for front in ('front-0', 'front-1'):
            self.ask(front)
            gevent.sleep(PAUSE_SECONDS)
        self.assertGreaterEqual(len(self.moments('crashes')), CRASHES)
        gevent.sleep(2 * CONTACT_SECONDS)
        for name in keepers:
            self.hosts.start_keeper(name)
        platform_hosts.wait_until(self.hosts.is_settled, 'the store hosts')
        gevent.sleep(CONTACT_SECONDS)
        self.repeat(self.ask)
        self.assert_stopped()


class PathTest(CrashCase):
    """Programs that ask the same, one after the other."""

    def test_programs_that_come_one_after_the_other(self):
        """Those after the first one don't end three servers each."""
        for number in range(2, 4):
            self.hosts.add_backend(f'e{number}', configurations.ENGINES)
        platform_hosts.wait_until(self.knows_servers, 'the servers')
        self.spoil()
        self.repeat(self.draft, count=CRASHES)
        gevent.sleep(CONTACT_SECONDS)
        for program in ('q', 'r', 's'):
            self.repeat(
                functools.partial(self.draft, program=program), count=CRASHES
            )
        self.assert_stopped()

    def draft(self, front, program='p'):
        """Send the deadly request as a turn of a program."""
        return self.hosts.turn(
            program, front=front, path='/chat/7', body=DEADLY
        )


class OutputTest(CrashCase):
    """Servers that end after the first event."""

    def test_a_retry_that_reaches_a_server_that_pauses(self):
        """Some retries are left for those that crash no server."""
        for number in range(2, 4):
            self.hosts.add_backend(f'e{number}', configurations.ENGINES)
        platform_hosts.wait_until(self.knows_servers, 'the servers')
        self.spoil(crash_after=1)
        self.repeat(self.draft, count=CRASHES)
        gevent.sleep(CONTACT_SECONDS)
        for backend in self.hosts.backends.values():
            backend.pause(PAUSE_SECONDS)
        self.ask_and_leave('front-0', path='/chat/7', headers=TURN)
        gevent.sleep(PAUSE_SECONDS)
        self.repeat(self.draft)
        self.assert_stopped()

    def draft(self, front):
        """Send the deadly request as a turn that servers begin to answer."""
        return self.hosts.ask(
            '/chat/7', front=front, method='POST', body=DEADLY, headers=TURN
        )
