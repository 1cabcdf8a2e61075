"""Run the named tests in this process, and exit with 1 where one fails."""

import sys

from gevent import monkey

monkey.patch_all()

import nose2  # noqa: E402

from tests import known_red  # noqa: E402


def is_counter(plugin):
    """Tell whether a plugin is the one that counts outcomes."""
    return isinstance(plugin, known_red.KnownRed)


def main():
    """Run the tests; those of KNOWN-RED.txt do not count."""
    program = nose2.discover(
        argv=['nose2', '-s', '.', '-v', *sys.argv[1:]],
        plugins=['tests.known_red'],
        exit=False,
    )
    counter = next(filter(is_counter, program.session.plugins))
    sys.exit(1 if counter.unexpected or not counter.counts['passed'] else 0)


if __name__ == '__main__':
    main()
