"""Refusals: a call that gets no slot fails before its first event."""

import unittest

import gevent

from carobfork import clock, exceptions
from carobfork.coordination import runs


class RefusedRunTest(unittest.TestCase):
    """A model run with a reader."""

    def test_refused_run_brings_no_event(self):
        """The reader gets the refusal first, not an empty piece."""
        run = runs.ModelRun('digest', clock.ManualClock())
        reader = gevent.spawn(next, run.read_events(), b'')
        gevent.sleep(0)
        run.fail(exceptions.OverloadedError('full'))
        with self.assertRaises(exceptions.OverloadedError):
            reader.get()
