"""Commands for state dumps."""

from carobfork.commands import operations, outputs


class StateCommands:
    """Look into running processes."""

    def dump(self, address: str) -> outputs.Report:
        """Print a process's state.

        Example: ``carobfork state dump 127.0.0.1:7102``

        :param address: the operators' address of an entry host, or the
            address of a stand-in, as ip:port.
        """
        return outputs.as_json_text(operations.ask(address, '/state'))
