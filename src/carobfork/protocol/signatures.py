"""Signatures: bundles signed with Ed25519, and the keys for it."""

import base64
import json
import os
import pathlib

import attrs
from cryptography import exceptions as crypto_exceptions
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519

from carobfork import exceptions
from carobfork.coordination import bundle_checks
from carobfork.protocol import documents
from carobfork.state import bundles

PRIVATE_MODE = 0o600
_OTHERS_MASK = 0o77
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
    write_new(
        private_path,
        private.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        ),
    )
    write_new(
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
    path = pathlib.Path(private_path)
    if path.stat().st_mode & _OTHERS_MASK:  # noqa: WPS465
        raise exceptions.SettingsError(
            f'{private_path} must be readable by its owner only', step='sign'
        )
    key = serialization.load_pem_private_key(path.read_bytes(), password=None)
    signature = base64.b64encode(key.sign(text.encode())).decode()
    return SignedBundle(text, signature)


class SignedBundleReader:
    """Check and parse signed bundles.

    :param public_path: the operators' public key.
    """

    def __init__(self, public_path: str) -> None:
        """Load the key."""
        self._key = serialization.load_pem_public_key(
            pathlib.Path(public_path).read_bytes()
        )

    def read(self, envelope: bytes) -> bundles.Bundle:
        """Return the bundle of an envelope.

        :raises SettingsError: the signature or the content is wrong.
        """
        signed = documents.parse(
            envelope.decode(), SignedBundle, 'the signed bundle'
        )
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
            signed = documents.parse(envelope.decode(), SignedBundle, _SOURCE)
            return documents.parse(signed.text, bundles.Bundle, _SOURCE).version
        except (exceptions.SettingsError, UnicodeDecodeError):
            return 0


def write_new(path: str, pem: bytes) -> None:
    """Write a new file that only its owner can read.

    :raises SettingsError: the file exists already.
    """
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL  # noqa: WPS465
    try:
        descriptor = os.open(path, flags, PRIVATE_MODE)
    except FileExistsError as error:
        raise exceptions.SettingsError(
            f'{path} exists already', step='make keys'
        ) from error
    with open(descriptor, 'wb') as key_file:
        key_file.write(pem)
