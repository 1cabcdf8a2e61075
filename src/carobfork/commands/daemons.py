"""Commands that run daemons."""

from carobfork import daemons


class EntryCommands:
    """Run entry hosts."""

    def run(self, settings: str) -> None:
        """Run an entry host until SIGTERM or SIGINT.

        Example: ``carobfork entry run settings/entry.jsonc``

        :param settings: path of the settings file.
        """
        daemons.run_entry(settings)
