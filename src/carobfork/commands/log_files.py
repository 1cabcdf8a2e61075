"""Commands for collected logs."""

import pathlib

from carobfork.commands import outputs
from carobfork.inspections import log_traces


class LogCommands:
    """Read logs that were collected from hosts."""

    def trace(self, identifier: str, folder: str) -> outputs.Report:
        """Follow a request or a program through the logs of all hosts.

        Lines of its workers and hosts at the same time are shown, too.

        Example: ``carobfork logs trace 9c41d07be2a35f68 collected``

        :param identifier: the request's attempt, or the program.
        :param folder: holds the log of each process in a file of its own,
            with the ending .log.
        """
        found = log_traces.trace(
            log_traces.read_folder(pathlib.Path(folder)), identifier
        )
        start_ms = found[0].at_ms
        return outputs.Report(
            '\n'.join(line.render(start_ms) for line in found),
            {
                'lines': [
                    {'host': line.host, 'at_ms': line.at_ms, **line.fields}
                    for line in found
                ]
            },
        )
