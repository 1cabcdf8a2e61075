"""Key files: written and read with checked modes."""

import hashlib
import json
import os
import pathlib
from typing import TypeVar

from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519

from carobfork import exceptions

PRIVATE_MODE = 0o600
_OTHERS_MASK = 0o77
_PRIVATE_LABEL = b'PRIVATE KEY'
_READ = 'read key'

Key = TypeVar('Key')


def write_new(path: str, pem: bytes) -> None:
    """Write a new file that only its owner can read.

    :raises SettingsError: the file exists already or can't be written.
    """
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL  # noqa: WPS465
    try:
        descriptor = os.open(path, flags, PRIVATE_MODE)
    except FileExistsError as error:
        raise exceptions.SettingsError(
            f'{path} exists already', step='make keys', peer=path
        ) from error
    except OSError as error:
        raise _unreadable(path, error) from error
    with open(descriptor, 'wb') as key_file:
        key_file.write(pem)


def require_private(path: str) -> None:
    """Check that only its owner can read a key file.

    :raises SettingsError: others can, or there is no such file.
    """
    try:
        mode = pathlib.Path(path).stat().st_mode
    except OSError as error:
        raise _unreadable(path, error) from error
    if mode & _OTHERS_MASK:  # noqa: WPS465
        raise exceptions.SettingsError(
            f'{path} must be readable by its owner only: chmod 600 {path}',
            step=_READ,
            peer=path,
        )


def load_private(path: str) -> ed25519.Ed25519PrivateKey:
    """Read an operators' private key.

    :raises SettingsError: the file holds none, or others can read it.
    """
    require_private(path)
    try:
        key = serialization.load_pem_private_key(
            _read_bytes(path), password=None
        )
    except (ValueError, TypeError) as error:
        raise _no_key(path) from error
    return _require_kind(key, ed25519.Ed25519PrivateKey, path)


def load_public(path: str) -> ed25519.Ed25519PublicKey:
    """Read an operators' public key.

    :raises SettingsError: the file holds none.
    """
    try:
        key = serialization.load_pem_public_key(_read_bytes(path))
    except ValueError as error:
        raise _no_key(path) from error
    return _require_kind(key, ed25519.Ed25519PublicKey, path)


def fingerprint(path: str) -> str:
    """Return the SHA-256 of a key file's public half, in hexadecimal.

    :param path: an operators' key, private or public, or the peers' key.
    :raises SettingsError: the file holds no key.
    """
    return hashlib.sha256(_public_half(path)).hexdigest()


def _public_half(path: str) -> bytes:
    content = _read_bytes(path)
    if content.lstrip().startswith(b'{'):
        return _peers_public(path, content)
    if _PRIVATE_LABEL in content:
        public = load_private(path).public_key()
    else:
        public = load_public(path)
    return public.public_bytes(
        serialization.Encoding.Raw, serialization.PublicFormat.Raw
    )


def _peers_public(path: str, content: bytes) -> bytes:
    require_private(path)
    try:
        return json.loads(content)['public'].encode()
    except (ValueError, LookupError, AttributeError) as error:
        raise _no_key(path) from error


def _require_kind(key: object, kind: type[Key], path: str) -> Key:
    if not isinstance(key, kind):
        raise _no_key(path)
    return key


def _read_bytes(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise _unreadable(path, error) from error


def _unreadable(path: str, error: OSError) -> exceptions.SettingsError:
    return exceptions.SettingsError(
        f'{path} can not be used: {error.strerror}', step=_READ, peer=path
    )


def _no_key(path: str) -> exceptions.SettingsError:
    return exceptions.SettingsError(
        f'{path} does not hold the expected key', step=_READ, peer=path
    )
