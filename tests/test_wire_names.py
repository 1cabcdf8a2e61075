"""Wire names: the platform's words stand in the adapter's folder only."""

import pathlib
import re
import unittest

SOURCES = pathlib.Path('src')
ADAPTER = SOURCES / 'carobfork' / 'platform'
NAMES = re.compile(
    'x-attempt-id|x-deadline-ms|x-program-id|x-session-id|x-finish-ms'
    '|x-token-budget|x-token-count|x-previous-turn|x-prompt-prefix'
    '|x-expect-instance|x-not-run|x-server-load|x-response-stamp'
    '|x-affinity-key|x-instance-id|x-pin-ms|x-kv-backup|kv-from'
    '|pathprefix|timeoutms|goalms|morepages|currentrev|coldleftms'
    '|allowstale|waitms|retains|maxconns|healthpath|portrange|datadir'
    "|/objects/|[/']retirements",
    re.IGNORECASE,
)
OWN_INTERFACE = frozenset(
    (
        'src/carobfork/transport/platforms.py',
        'src/carobfork_standins/platform.py',
    )
)
"""Client and stand-in of the product's own object API."""


class WireNamesTest(unittest.TestCase):
    """No module outside the adapter knows the platform's wire."""

    def test_no_wire_names_outside_the_adapter(self):
        """Headers, fields, paths and kinds stay in one folder."""
        found = []
        for path in sorted(SOURCES.rglob('*.py')):
            if ADAPTER in path.parents or str(path) in OWN_INTERFACE:
                continue
            lines = path.read_text().splitlines()
            found.extend(
                f'{path}:{number}'
                for number, line in enumerate(lines, 1)
                if NAMES.search(line)
            )
        self.assertEqual(found, [])
