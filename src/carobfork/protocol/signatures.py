"""Signatures: bundles signed with Ed25519, and the keys for it."""

import base64
import json

import attrs
from cryptography import exceptions as crypto_exceptions
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519

from carobfork import exceptions
from carobfork.coordination import bundle_checks
from carobfork.protocol import documents, key_files
from carobfork.state import bundles

_ENVELOPE_FIELDS = frozenset(('text', 'signature'))
_SOURCE = 'the bundle'


@attrs.frozen
class SignedBundle:
    """A bundle's text and its signature, both as they travel."""

    text: str
    signature: str

    def encode(self) -> bytes:
        """Return the envelope's JSON."""
        return json.dumps(attrs.asdict(self)).encode()


def make_keys(private_path: str, public_path: str) -> None:
    """Write a new key pair; the private file is readable by its owner only.

    :raises SettingsError: a file exists already.
    """
    private = ed25519.Ed25519PrivateKey.generate()
    key_files.write_new(
        private_path,
        private.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        ),
    )
    key_files.write_new(
        public_path,
        private.public_key().public_bytes(
            serialization.Encoding.PEM,
            serialization.PublicFormat.SubjectPublicKeyInfo,
        ),
    )


def sign(text: str, private_path: str) -> SignedBundle:
    """Sign a bundle's text.

    :raises SettingsError: others can read the key file.
    """
    key = key_files.load_private(private_path)
    signature = base64.b64encode(key.sign(text.encode())).decode()
    return SignedBundle(text, signature)


def is_signed(text: str) -> bool:
    """Tell whether a text is a signed bundle's envelope."""
    try:
        fields = json.loads(text)
    except (ValueError, RecursionError):
        return False
    return isinstance(fields, dict) and set(fields) == _ENVELOPE_FIELDS


def open_envelope(envelope: bytes) -> SignedBundle:
    """Return an envelope's content, its signature unchecked.

    :raises SettingsError: the bytes are no envelope.
    """
    return documents.parse(
        envelope.decode(errors='replace'), SignedBundle, 'the signed bundle'
    )


class SignedBundleReader:
    """Check and parse signed bundles.

    :param public_path: the operators' public key.
    """

    def __init__(self, public_path: str) -> None:
        """Load the key."""
        self._key = key_files.load_public(public_path)

    def read(self, envelope: bytes) -> bundles.Bundle:
        """Return the bundle of an envelope.

        :raises SettingsError: the signature or the content is wrong.
        """
        signed = open_envelope(envelope)
        try:
            self._key.verify(
                base64.b64decode(signed.signature), signed.text.encode()
            )
        except (crypto_exceptions.InvalidSignature, ValueError) as error:
            raise exceptions.SettingsError(
                'the bundle is not signed by the operators', step='verify'
            ) from error
        bundle = documents.parse(signed.text, bundles.Bundle, _SOURCE)
        bundle_checks.verify(bundle, _SOURCE)
        return bundle

    def claimed_version(self, envelope: bytes) -> int:
        """Return the version of an envelope whose signature may be wrong.

        It is 0 where the envelope is not even readable.
        """
        try:
            signed = open_envelope(envelope)
            return documents.parse(signed.text, bundles.Bundle, _SOURCE).version
        except (exceptions.SettingsError, UnicodeDecodeError):
            return 0
