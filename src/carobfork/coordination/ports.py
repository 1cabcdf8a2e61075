"""Interfaces through which coordination reaches the outside.

The transport layer implements them; the composition root connects them.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Protocol

import attrs

from carobfork.state import bundles, records

_BYTES_PER_TOKEN = 4


@attrs.frozen
class StoredObject:
    """An object of the platform: its key, version and body."""

    key: str
    version: int
    body: bytes


class ObjectStore(Protocol):
    """The platform's object API.

    Each method raises ``PlatformError`` where no answer came; an update
    may then have taken effect all the same.
    """

    def fetch(self, key: str) -> StoredObject | None:
        """Return an object, or nothing where it does not exist."""

    def update(self, key: str, body: bytes, expected_version: int) -> int:
        """Replace an object of this version and return the new version.

        :param expected_version: 0 creates the object.
        :raises ConflictError: another version is in force.
        """

    def delete(self, key: str) -> None:
        """Remove an object if it exists."""

    def list_keys(self, prefix: str) -> list[str]:
        """Return the keys that start with ``prefix``, sorted."""

    def watch(
        self, prefix: str, since_revision: int
    ) -> tuple[int, list[StoredObject]]:
        """Wait for changes after a revision.

        Return the revision reached and the changed objects, possibly none.
        """


class PeerLink(Protocol):
    """Messages to and from other entry hosts."""

    def on(self, kind: type, handler: Callable) -> None:
        """Call ``handler`` with each message of a kind.

        What it returns is the reply, if the sender waits for one.
        """

    def send(self, address: bundles.Address, message: object) -> None:
        """Send a message that needs no reply; it may get lost."""

    def request(
        self, address: bundles.Address, message: object, timeout_ms: int
    ) -> object:
        """Send a message and return the reply.

        :raises ConnectionFailedError: no reply came in time.
        """


class Listener(Protocol):
    """Where requests come in."""

    def drain(self) -> None:
        """Stop listening and wait for the requests in progress."""


class RecordCodec(Protocol):
    """Turn records into a segment's bytes and back."""

    def encode(self, record: records.Record) -> bytes:
        """Return one record's bytes."""

    def decode(self, encoded: bytes) -> records.Record:
        """Return the record of its bytes."""

    def pack(self, encoded: Iterable[bytes]) -> bytes:
        """Return the compressed bytes of a segment."""

    def unpack(self, segment: bytes) -> list[records.Record]:
        """Return the records of a segment."""


@attrs.frozen
class Prompt:
    """What a model engine is asked.

    ``messages`` are JSON objects separated by commas, oldest first.
    """

    model: str
    program: str
    attempt: str
    messages: bytes
    options: bytes
    rank: str

    @property
    def estimated_tokens(self) -> int:
        """About how many tokens the messages are."""
        return len(self.messages) // _BYTES_PER_TOKEN


@attrs.frozen
class ModelAnswer:
    """A model's whole answer.

    ``text`` is the answer, ``tokens`` counts prompt and answer together,
    ``cached_tokens`` the part of the prompt found in the engine's cache.
    """

    text: str
    tokens: int
    cached_tokens: int = 0
    output_tokens: int = 0

    @property
    def prefilled_tokens(self) -> int:
        """Prompt tokens that were not found in the engine's cache."""
        return self.tokens - self.output_tokens - self.cached_tokens


class ModelBackend(Protocol):
    """Model engines."""

    def stream(self, worker: bundles.Worker, prompt: Prompt) -> Iterator[bytes]:
        """Yield whole server-sent events as they come.

        The stream goes on at the engine for a while after the iterator is
        closed; ``cancel`` ends it.

        :raises ConnectionFailedError: the engine broke off.
        """

    def resume(
        self, worker: bundles.Worker, attempt: str, offset: int
    ) -> Iterator[bytes]:
        """Yield the events of a stream from a text offset in bytes.

        :raises StreamLostError: the engine does not know the stream.
        :raises ConnectionFailedError: the engine broke off.
        """

    def cancel(self, worker: bundles.Worker, attempt: str) -> None:
        """End a stream.

        :raises ConnectionFailedError: the engine did not answer.
        """

    def decode(self, events: bytes) -> ModelAnswer:
        """Return the answer that the events spell."""

    def turn(self, messages: bytes, answer: bytes) -> bytes:
        """Return a turn's messages with the model's answer after them."""


@attrs.frozen
class ServiceRequest:
    """A call to a plain service, passed through unchanged."""

    method: str
    path: str
    body: bytes
    content_type: str
    call: str
    """Program and key; the service sees it as an idempotency key."""


@attrs.frozen
class ServiceReply:
    """A plain service's answer.

    ``leaving`` tells that the server wants no further work.
    """

    status: int
    body: bytes
    content_type: str
    leaving: bool = False


class ServiceBackend(Protocol):
    """Plain services."""

    def send(
        self, server: bundles.Server, request: ServiceRequest, timeout_ms: int
    ) -> ServiceReply:
        """Send a request once and wait for its answer.

        :raises LeavingError: the server refused since it leaves.
        :raises ConnectionFailedError: no whole answer came.
        """
