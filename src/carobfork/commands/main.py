"""The command line's entry point."""

from gevent import monkey

monkey.patch_all()

import contextlib  # noqa: E402
import sys  # noqa: E402
from collections.abc import Sequence  # noqa: E402

import fire  # noqa: E402
import structlog  # noqa: E402

from carobfork import exceptions  # noqa: E402
from carobfork.commands import arguments, groups, outputs  # noqa: E402

INTERRUPTED_CODE = 130

logger = structlog.get_logger(part='command line')


def run(words: Sequence[str]) -> int:
    """Run a command line and return the exit code.

    :param words: the arguments, without the program's name.
    """
    as_json = arguments.JSON_FLAG in words
    try:
        return _run(words)
    except exceptions.CarobforkError as error:
        outputs.print_error(error, as_json)
        return outputs.exit_code(error)
    except KeyboardInterrupt:
        return INTERRUPTED_CODE
    except Exception as error:
        logger.debug('An unexpected error.', exc_info=True)
        internal = exceptions.CarobforkError(
            f'{type(error).__name__}: {error}', step='run', peer='command line'
        )
        outputs.print_error(internal, as_json)
        return outputs.INTERNAL_CODE


def main() -> None:
    """Run the process's command line."""
    sys.exit(run(sys.argv[1:]))


def _run(words: Sequence[str]) -> int:
    commands = groups.Commands()
    invocation = arguments.parse(commands, words)

    def render(found: object) -> object:  # noqa: WPS430
        if isinstance(found, outputs.Report):
            return found.render(invocation.as_json)
        return found

    with contextlib.suppress(fire.core.FireExit):
        fire.Fire(
            commands,
            command=invocation.fire_words(),
            name='carobfork',
            serialize=render,
        )
    return 0
