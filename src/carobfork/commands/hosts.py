"""Commands for entry hosts."""

from carobfork.commands import operations, outputs


class HostCommands:
    """Operate entry hosts."""

    def drain(self, address: str) -> outputs.Report:
        """Let an entry host finish its work, hand over and stop.

        Example: ``carobfork host drain 127.0.0.1:7102``

        :param address: the host's operators' address as ip:port.
        """
        answer = operations.ask(address, '/drain', 'POST')
        return outputs.done(f'{answer["host"]} is draining.', **answer)
