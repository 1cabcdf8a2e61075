"""Identify requests that are the same, whichever attempt carries them."""

import hashlib

from carobfork.gateway import calls, framing

_DIGEST_BYTES = 8


def compute_fingerprint(
    head: framing.Head, call: calls.Call, body: bytes
) -> str:
    """Return a digest of a request's method, path, caller and body.

    The attempt, the deadline and the event to resume after differ between
    attempts and are left out.

    :param head: the caller's head.
    :param call: the call that it describes.
    :param body: the body as the caller sent it.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    parts = (
        head.get('host'),
        *head.first[:2],
        call.program,
        call.session,
        call.affinity,
    )
    for part in parts:
        digest.update(part.encode(errors='replace'))
        digest.update(b'\n')
    digest.update(body)
    return digest.hexdigest()
