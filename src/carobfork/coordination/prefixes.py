"""Find the backend server that is likely to have a program's prompt cached."""

from carobfork.state import programs


def last_worker(
    table: programs.ProgramTable, program: programs.Program | None
) -> str:
    """Return the worker that last served a program, else its nearest parent.

    Returns an empty string if no answer is recorded.

    :param table: the programs that this host owns; a parent that another
        host owns is not considered.
    :param program: the program to start from.
    """
    while program is not None:
        history = program.history()
        if history:
            return history[-1].worker
        program = table.programs.get(program.parent)
    return ''
