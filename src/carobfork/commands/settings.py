"""Commands for settings."""

from carobfork import composition
from carobfork.commands import outputs
from carobfork.protocol import documents, key_files, signatures
from carobfork.transport import peers


class SettingsCommands:
    """Check settings."""

    def check(self, settings: str) -> outputs.Report:
        """Check an entry host's settings and key files without starting it.

        Example: ``carobfork settings check settings/entry.jsonc``

        :param settings: path of the settings file.
        """
        loaded = documents.load(settings, composition.EntrySettings)
        signatures.SignedBundleReader(loaded.bundle_public_key_file)
        key_files.require_private(loaded.peer_key_file)
        documents.load(loaded.peer_key_file, peers.PeerKeys)
        return outputs.done(f'{settings} is right.', host=loaded.host)
