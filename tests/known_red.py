"""Count outcomes and pass over just the tests that KNOWN-RED.txt lists."""

import collections
import pathlib
import re

from nose2 import events, result

KNOWN_RED = pathlib.Path('KNOWN-RED.txt')
ENTRY = re.compile(r'^test: (\S+)$', re.MULTILINE)


def listed():
    """Return the names of the tests that are known to fail."""
    if not KNOWN_RED.exists():
        return frozenset()
    return frozenset(ENTRY.findall(KNOWN_RED.read_text()))


def describe(exc_info):
    """Return the type and the first line of a failure."""
    kind, error = exc_info[:2]
    return f'{kind.__name__}: {error}'.splitlines()[0]


class KnownRed(events.Plugin):
    """Print what failed as known, and the closing count."""

    configSection = 'known-red'  # noqa: WPS115, N815
    alwaysOn = True  # noqa: WPS115, N815

    def __init__(self):
        """Start without outcomes."""
        self.counts = collections.Counter()
        self.unexpected = []

    def testOutcome(self, event):  # noqa: N802
        """Count an outcome."""
        is_subtest = event.outcome == result.SUBTEST
        if is_subtest and not event.exc_info:
            return
        name = event.test.id().partition(' ')[0]
        broken = is_subtest or event.outcome in {result.FAIL, result.ERROR}
        if broken and name in listed():
            self.counts['red'] += 1
        elif broken:
            self.counts['failed'] += 1
            self.unexpected.append(f'{name}: {describe(event.exc_info)}')
        elif event.outcome == result.SKIP:
            self.counts['skipped'] += 1
        else:
            self.counts['passed'] += 1

    def afterSummaryReport(self, event):  # noqa: N802
        """Print the closing lines."""
        for name in sorted(listed()):
            event.stream.writeln(f'known red: {name}')
        for unexpected in self.unexpected:
            event.stream.writeln(f'failed: {unexpected}')
        event.stream.writeln(
            f'{self.counts["passed"]} passed, '
            f'{self.counts["failed"]} failed, '
            f'{self.counts["skipped"] + self.counts["red"]} skipped',
        )
