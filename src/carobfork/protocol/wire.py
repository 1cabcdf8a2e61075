"""Wire: messages between entry hosts as MessagePack."""

import cattrs
import msgpack
from cattrs.preconf import msgpack as preconf

from carobfork import exceptions
from carobfork.coordination import messages


class MessageCodec:
    """Encode registered messages as a pair of tag and fields."""

    def __init__(self) -> None:
        """Build the converter once; it compiles a function a class."""
        self._converter = preconf.make_converter()

    def encode(self, message: object) -> bytes:
        """Return a message's bytes."""
        tag = type(message).__name__
        return msgpack.packb([tag, self._converter.unstructure(message)])

    def decode(self, packed: bytes) -> object:
        """Return the message.

        :raises BadRequestError: the bytes are no registered message.
        """
        try:
            tag, fields = msgpack.unpackb(packed)
            return self._converter.structure(fields, messages.MESSAGES[tag])
        except (ValueError, LookupError, cattrs.BaseValidationError) as error:
            raise exceptions.BadRequestError(
                'the bytes are no message', step='decode message'
            ) from error
