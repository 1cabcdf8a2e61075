"""Groups: the command line's tree."""

from carobfork.commands import (
    benches,
    bundles,
    daemons,
    hosts,
    keys,
    log_files,
    programs,
    requests,
    settings,
    states,
)


class Commands:
    """Run and operate carobfork.

    Each command takes ``--json`` for scripts and ``--help``.

    Example: ``carobfork bundle roll signed.json 127.0.0.1:7001 ops.pub``
    """

    def __init__(self) -> None:
        """List the command groups."""
        self.entry = daemons.EntryCommands()
        self.settings = settings.SettingsCommands()
        self.keys = keys.KeyCommands()
        self.bundle = bundles.BundleCommands()
        self.state = states.StateCommands()
        self.program = programs.ProgramCommands()
        self.host = hosts.HostCommands()
        self.request = requests.RequestCommands()
        self.logs = log_files.LogCommands()
        self.bench = benches.BenchCommands()
        self.explain = programs.explain
