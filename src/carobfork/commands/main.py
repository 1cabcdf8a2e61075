"""The command line's entry point."""

from gevent import monkey

monkey.patch_all()

import fire  # noqa: E402

from carobfork.commands import bundles, daemons, keys  # noqa: E402


class Commands:
    """Run and operate carobfork.

    Example: ``carobfork bundle roll signed.json --platform 127.0.0.1:7000``
    """

    def __init__(self) -> None:
        """List the command groups."""
        self.entry = daemons.EntryCommands()
        self.bundle = bundles.BundleCommands()
        self.keys = keys.KeyCommands()


def main() -> None:
    """Run the command line."""
    fire.Fire(Commands, name='carobfork')
