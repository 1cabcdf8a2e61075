"""Define the interfaces of coordination to the platform, peers and backends.

The transport layer implements them and the composition root connects them.
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
    """Client of the platform's object API.

    Each method raises ``PlatformError`` if no answer arrives; an update may
    still have taken effect then.
    """

    def fetch(self, key: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""

    def update(self, key: str, body: bytes, expected_version: int) -> int:
        """Replace an object and return its new version.

        :param expected_version: version to replace; 0 creates the object.
        :raises ConflictError: if the object has another version.
        """

    def delete(self, key: str) -> None:
        """Delete an object if it exists."""

    def list_keys(self, prefix: str) -> list[str]:
        """Return the keys that start with ``prefix``, sorted."""

    def watch(
        self, prefix: str, since_revision: int
    ) -> tuple[int, list[StoredObject]]:
        """Wait for changes of objects after a revision.

        :param prefix: start of the keys to watch.
        :param since_revision: last revision that is known.
        :returns: the revision reached and the changed objects, possibly
            none.
        """


class PeerLink(Protocol):
    """Sends messages to other entry hosts and receives theirs."""

    def on(self, kind: type, handler: Callable) -> None:
        """Register the handler of a kind of messages.

        :param kind: class of the messages.
        :param handler: called with each message; its return value is the
            reply if the sender waits for one.
        """

    def send(self, address: bundles.Address, message: object) -> None:
        """Send a message without waiting for a reply; it may be lost."""

    def request(
        self, address: bundles.Address, message: object, timeout_ms: int
    ) -> object:
        """Send a message and return the reply.

        :param timeout_ms: how long to wait for the reply.
        :raises ConnectionFailedError: if no reply arrives in time.
        """


class Listener(Protocol):
    """Accepts connections and requests."""

    def drain(self) -> None:
        """Stop listening and wait for the requests in progress."""


class RecordCodec(Protocol):
    """Encodes records into segments and decodes them."""

    def encode(self, record: records.Record) -> bytes:
        """Return the encoded form of a record."""

    def decode(self, encoded: bytes) -> records.Record:
        """Return the record that the bytes encode."""

    def pack(self, encoded: Iterable[bytes]) -> bytes:
        """Return the compressed segment of encoded records."""

    def unpack(self, segment: bytes) -> list[records.Record]:
        """Return the records of a segment."""


@attrs.frozen
class Prompt:
    """A request to a model engine.

    ``messages`` holds JSON objects separated by commas, oldest first.
    """

    model: str
    program: str
    attempt: str
    messages: bytes
    options: bytes
    rank: str

    @property
    def estimated_tokens(self) -> int:
        """Estimated number of tokens of the messages."""
        return len(self.messages) // _BYTES_PER_TOKEN


@attrs.frozen
class ModelAnswer:
    """A complete answer of a model.

    ``text`` is the answer. ``tokens`` counts prompt and answer together,
    ``cached_tokens`` the part of the prompt found in the engine's cache and
    ``output_tokens`` the answer.
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
    """Client of the model engines.

    A worker is the backend server that runs an engine.
    """

    def stream(self, worker: bundles.Worker, prompt: Prompt) -> Iterator[bytes]:
        """Yield complete server-sent events as they arrive.

        After the iterator is closed the engine continues the stream for a
        while; ``cancel`` ends it.

        :raises ConnectionFailedError: if the stream broke off.
        """

    def resume(
        self, worker: bundles.Worker, attempt: str, offset: int
    ) -> Iterator[bytes]:
        """Yield the events of a stream that the engine still has.

        :param attempt: identifier of the attempt.
        :param offset: where to start in the answer's text, in bytes.
        :raises StreamLostError: if the engine does not have the stream.
        :raises ConnectionFailedError: if the stream broke off.
        """

    def cancel(self, worker: bundles.Worker, attempt: str) -> None:
        """Cancel a stream.

        :raises ConnectionFailedError: if the engine did not answer.
        """

    def decode(self, events: bytes) -> ModelAnswer:
        """Return the answer that the events contain."""

    def turn(self, messages: bytes, answer: bytes) -> bytes:
        """Return the messages of a turn followed by the model's answer."""


@attrs.frozen
class ServiceRequest:
    """A request to a plain service, passed on unchanged."""

    method: str
    path: str
    body: bytes
    content_type: str
    call: str
    """Program and call key; sent to the service as an idempotency key."""


@attrs.frozen
class ServiceReply:
    """An answer of a plain service.

    ``leaving`` is set if the server asks for no further calls.
    """

    status: int
    body: bytes
    content_type: str
    leaving: bool = False


class ServiceBackend(Protocol):
    """Client of the plain services."""

    def send(
        self, server: bundles.Server, request: ServiceRequest, timeout_ms: int
    ) -> ServiceReply:
        """Send a request once and wait for its answer.

        :param timeout_ms: how long to wait for the answer.
        :raises LeavingError: if the server refused because it is leaving.
        :raises ConnectionFailedError: if no complete answer arrived.
        """
