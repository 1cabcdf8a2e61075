"""Commands that run daemons."""

from carobfork import daemons


class EntryCommands:
    """Run entry hosts."""

    def run(self, settings: str) -> None:
        """Run an entry host.

        Example: ``carobfork entry run settings/demo/entry-1.jsonc``

        :param settings: path of the settings file.
        """
        daemons.run_entry(settings)
