"""Commands for keys."""

from carobfork.protocol import signatures


class KeyCommands:
    """Make keys."""

    def make(self, private: str, public: str) -> None:
        """Write a new key pair for signing bundles.

        Example: ``carobfork keys make operators.key operators.pub``

        :param private: path of the private key to write.
        :param public: path of the public key to write.
        """
        signatures.make_keys(private, public)
