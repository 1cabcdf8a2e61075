"""Commands for programs under way."""

from urllib import parse as urls

from carobfork.commands import operations, outputs


class ProgramCommands:
    """Look at and stop programs."""

    def show(self, program: str, at: str) -> outputs.Report:
        """Print a program's state.

        Example: ``carobfork program show PROGRAM --at 127.0.0.1:7102``

        :param program: the program's identifier.
        :param at: operators' addresses as ip:port, separated by commas.
        """
        found = operations.ask_first(at, _path(program))
        return outputs.as_json_text(found)

    def abort(
        self, program: str, at: str, reason: str = 'aborted by an operator'
    ) -> outputs.Report:
        """End a program and stop its calls under way.

        Example: ``carobfork program abort PROGRAM --at 127.0.0.1:7102``

        :param program: the program's identifier.
        :param at: operators' addresses as ip:port, separated by commas.
        :param reason: what callers are told.
        """
        query = urls.urlencode({'reason': reason})
        path = f'{_path(program)}?{query}'
        ended = operations.ask_first(at, path, 'DELETE')
        return outputs.done(f'{program} is aborted.', **ended)


def explain(program: str, at: str) -> outputs.Report:
    """Say why a program waits, was refused, moved or was stopped.

    Example: ``carobfork explain PROGRAM --at 127.0.0.1:7102,127.0.1.2:7102``

    :param program: the program's identifier.
    :param at: operators' addresses as ip:port, separated by commas.
    """
    found = operations.ask_first(at, f'{_path(program)}/explanation')
    text = '\n'.join(found['sentences'])
    return outputs.Report(text, found)


def _path(program: str) -> str:
    return f'/programs/{urls.quote(program, safe="")}'
