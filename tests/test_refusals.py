"""Refusals: a call that gets no slot fails before its first event.

Guards against an empty event for the reader: a run that fails wakes its
readers although no event has arrived.
"""

import unittest

import gevent

from carobfork import clock, exceptions
from carobfork.coordination import runs


class RefusedRunTest(unittest.TestCase):
    """A model run without events that has a reader."""

    def test_refused_run_brings_no_event(self):
        """The reader gets the error and no empty event before it."""
        run = runs.ModelRun('digest', clock.ManualClock())
        reader = gevent.spawn(next, run.read_events(), b'')
        gevent.sleep(0)
        run.fail(exceptions.OverloadedError('full'))
        with self.assertRaises(exceptions.OverloadedError):
            reader.get()
