"""Identify requests that are the same, whichever attempt carries them."""

import hashlib

import attrs

from carobfork.gateway import calls, framing

_DIGEST_BYTES = 8


@attrs.frozen
class Fingerprints:
    """Digests of a request, without what differs between attempts.

    :param request: digest of method, path, caller, the turn that it
        continues, and body. A turn's body holds its new input only.
    :param path: digest of method and path. Prompts grow with a program's
        history, so programs that ask the same have different bodies.
    """

    request: str = ''
    path: str = ''


def compute_fingerprints(
    head: framing.Head, call: calls.Call, body: bytes
) -> Fingerprints:
    """Return a request's digests.

    :param head: the caller's head.
    :param call: the call that it describes.
    :param body: the body as the caller sent it.
    """
    path_parts = (head.get('host'), *head.first[:2])
    caller_parts = (
        call.program,
        call.session,
        call.affinity,
        call.previous_turn,
    )
    return Fingerprints(
        _digest((*path_parts, *caller_parts), body), _digest(path_parts, b'')
    )


def _digest(parts: tuple[str, ...], body: bytes) -> str:
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        digest.update(part.encode(errors='replace'))
        digest.update(b'\n')
    digest.update(body)
    return digest.hexdigest()
