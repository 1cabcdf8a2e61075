"""Host logs: bounded under load, and never silent about what was left out."""

import unittest

import structlog

from carobfork import clock, host_logs


class HostLogsTest(unittest.TestCase):
    """Lines dropped by rate and lines lost by a full buffer."""

    def test_a_flood_of_one_event(self):
        """Above the rate lines are dropped; the next one says how many."""
        timer = clock.ManualClock()
        keep = host_logs.RateFilter(timer)
        for _ in range(host_logs.LINES_PER_SECOND):
            keep(None, 'info', {'event': 'flood'})
        for _ in range(3):
            with self.assertRaises(structlog.DropEvent):
                keep(None, 'info', {'event': 'flood'})
        other = keep(None, 'info', {'event': 'other'})
        self.assertEqual(other['dropped_lines'], 3)
        timer.advance(1000)
        again = keep(None, 'info', {'event': 'flood'})
        self.assertNotIn('dropped_lines', again)
        self.assertEqual(keep.total, 3)

    def test_warnings_pass(self):
        """A flood of warnings is not dropped by rate."""
        keep = host_logs.RateFilter(clock.ManualClock())
        for _ in range(host_logs.LINES_PER_SECOND + 1):
            keep(None, 'warning', {'event': 'flood'})
        self.assertEqual(keep.total, 0)

    def test_a_reader_that_is_slow(self):
        """The oldest lines are lost and counted; nobody waits."""
        writer = host_logs.Writer()
        for _ in range(host_logs.MOST_WAITING + 2):
            writer.msg(b'line\n')
        self.assertEqual(writer.lost, 2)
