"""Test where a program's prefix is expected to be cached.

The tests guard against sub-agents that start on a worker without their
parent's prefix, which costs a full prefill.
"""

import unittest

from carobfork.coordination import prefixes
from carobfork.state import bundles, programs, records


class PrefixTest(unittest.TestCase):
    """Tests of a parent that was served and its sub-agent."""

    def setUp(self):
        """Open both programs and record one answer of the parent."""
        self.table = programs.ProgramTable()
        for name, parent in (('a.1.parent', ''), ('a.1.child', 'a.1.parent')):
            self.table.apply(
                records.ProgramOpened(
                    program=name,
                    kind='quote',
                    rank='urgent',
                    budget=bundles.Budget(1000, 10, 1000),
                    token_digest='',
                    parent=parent,
                )
            )
        self.answer('a.1.parent', 'engine-2')

    def answer(self, program, worker):
        """Record a model's answer."""
        self.table.apply(
            records.AnswerRecorded(
                program=program,
                key='c1',
                digest='',
                target=f'talk/{worker}',
                status=200,
                body=b'yes',
                content_type='',
                messages=b'{}',
            )
        )

    def find(self, name):
        """Return the worker that is expected to have a program's prefix."""
        return prefixes.last_worker(self.table, self.table.find(name))

    def test_sub_agent_starts_at_its_parent(self):
        """A sub-agent without history uses its parent's last worker."""
        self.assertEqual(self.find('a.1.child'), 'engine-2')

    def test_own_history_goes_first(self):
        """A sub-agent that was served uses its own last worker."""
        self.answer('a.1.child', 'engine-1')
        self.assertEqual(self.find('a.1.child'), 'engine-1')
