"""Prefixes: sub-agents start where their parent's prefix is."""

import unittest

from carobfork.coordination import prefixes
from carobfork.state import bundles, programs, records


class PrefixTest(unittest.TestCase):
    """A parent that was served and its sub-agent."""

    def setUp(self):
        """Open both; the parent has one answer."""
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
        """Return where a program's prefix is."""
        return prefixes.last_worker(self.table, self.table.find(name))

    def test_sub_agent_starts_at_its_parent(self):
        """A sub-agent without history goes where its parent was."""
        self.assertEqual(self.find('a.1.child'), 'engine-2')

    def test_own_history_goes_first(self):
        """A sub-agent that was served goes back there."""
        self.answer('a.1.child', 'engine-1')
        self.assertEqual(self.find('a.1.child'), 'engine-1')
