"""Commands for keys."""

from carobfork.commands import outputs
from carobfork.protocol import key_files, signatures
from carobfork.transport import peer_keys


class KeyCommands:
    """Make and show keys."""

    def make(self, private: str, public: str) -> outputs.Report:
        """Write a new key pair for signing bundles.

        Example: ``carobfork keys make operators.key operators.pub``

        :param private: path of the private key to write.
        :param public: path of the public key to write.
        """
        signatures.make_keys(private, public)
        return outputs.done(
            f'{private} and {public} are written.',
            fingerprint=key_files.fingerprint(public),
        )

    def make_peers(self, path: str) -> outputs.Report:
        """Write a new key pair for messages between entry hosts.

        All hosts of a deployment get a copy of the same file.

        Example: ``carobfork keys make-peers peers.key``

        :param path: path of the file to write.
        """
        peer_keys.make_keys(path)
        return outputs.done(f'{path} is written.')

    def show(self, path: str) -> outputs.Report:
        """Show a key file's fingerprint, never the key.

        Both files of a pair have the same fingerprint.

        Example: ``carobfork keys show operators.pub``

        :param path: path of a public, private or peers' key file.
        """
        found = key_files.fingerprint(path)
        return outputs.Report(found, {'path': path, 'fingerprint': found})
