"""Prefixes: where a program's prompt is likely to be cached."""

from carobfork.state import programs


def last_worker(
    table: programs.ProgramTable, program: programs.Program | None
) -> str:
    """Return the worker that served a program last, or else its parent.

    :param table: the programs homed here; a parent elsewhere is not found.
    """
    while program is not None:
        history = program.history()
        if history:
            return history[-1].worker
        program = table.programs.get(program.parent)
    return ''
