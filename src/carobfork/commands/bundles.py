"""Commands that sign bundles off and roll them."""

import pathlib

from carobfork import exceptions, sessions
from carobfork.coordination import control
from carobfork.protocol import documents, signatures
from carobfork.state import bundles
from carobfork.transport import platforms


class BundleCommands:
    """Check, sign off and roll bundles."""

    def sign(self, bundle: str, key: str, output: str) -> None:
        """Check a bundle and sign it off.

        Example: ``carobfork bundle sign bundle.jsonc operators.key out.json``

        :param bundle: path of the bundle file.
        :param key: path of the private key.
        :param output: path of the signed bundle to write.
        """
        text = pathlib.Path(bundle).read_text()
        documents.parse(text, bundles.Bundle, bundle)
        signed = signatures.sign(text, key)
        pathlib.Path(output).write_bytes(signed.encode())

    def roll(self, signed: str, platform: str) -> None:
        """Put a signed bundle in force on all hosts.

        Example: ``carobfork bundle roll signed.json 127.0.0.1:7000``

        :param signed: path of the signed bundle.
        :param platform: address of the platform as ip:port.
        """
        envelope = pathlib.Path(signed).read_bytes()
        offered = _bundle_of(envelope)
        store = platforms.HttpObjectStore(sessions.parse_address(platform))
        found = store.fetch(control.BUNDLE_KEY)
        if found is not None:
            in_force = _bundle_of(found.body)
            if in_force.version >= offered.version:
                raise exceptions.ConflictError(
                    f'version {in_force.version} is in force',
                    current_version=in_force.version,
                    step='roll',
                )
        expected = found.version if found else 0
        store.update(control.BUNDLE_KEY, envelope, expected_version=expected)


def _bundle_of(envelope: bytes) -> bundles.Bundle:
    signed = documents.parse(
        envelope.decode(), signatures.SignedBundle, 'the signed bundle'
    )
    return documents.parse(signed.text, bundles.Bundle, 'the bundle')
