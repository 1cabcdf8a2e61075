"""Server-sent events of chat completions.

Events are relayed as bytes; JSON is parsed once a call, when it has ended.
"""

import json
from collections.abc import Iterable, Iterator

from carobfork import exceptions
from carobfork.coordination import ports

SEPARATOR = b'\n\n'
PREFIX = b'data: '
DONE = b'data: [DONE]\n\n'


class EventSplitter:
    """Cut a byte stream into whole events, without the closing one."""

    def __init__(self) -> None:
        """Start with nothing left over."""
        self.closed = False
        self._rest = b''

    def feed(self, piece: bytes) -> bytes:
        """Return the events completed by a piece, possibly none."""
        pending = self._rest + piece
        end = pending.rfind(SEPARATOR) + len(SEPARATOR)
        if end < len(SEPARATOR):
            self._rest = pending
            return b''
        self._rest = pending[end:]
        events = pending[:end]
        if events.endswith(DONE):
            self.closed = True
            return events.removesuffix(DONE)
        return events


def encode_prompt(prompt: ports.Prompt) -> bytes:
    """Return the body of a chat completions request."""
    options = json.loads(prompt.options)
    fields = {
        **options,
        'model': prompt.model,
        'stream': True,
        'stream_options': {'include_usage': True},
        'user': prompt.program,
    }
    head = json.dumps(fields).encode().removesuffix(b'}')
    return b''.join([head, b', "messages": [', prompt.messages, b']}'])


def encode_turn(messages: bytes, answer: bytes) -> bytes:
    """Return a turn's messages with the model's answer after them."""
    reply = {'role': 'assistant', 'content': answer.decode()}
    return b','.join([messages, json.dumps(reply).encode()])


def encode_text(text: str) -> bytes:
    """Return one event that holds a whole text."""
    choice = {'index': 0, 'delta': {'content': text}}
    chunk = {'object': 'chat.completion.chunk', 'choices': [choice]}
    return encode_event(chunk)


def encode_event(chunk: dict) -> bytes:
    """Return one event that holds a JSON object."""
    return b''.join([PREFIX, json.dumps(chunk).encode(), SEPARATOR])


def skip_text(pieces: Iterable[bytes], offset: int) -> Iterator[bytes]:
    """Return events without the first ``offset`` bytes of their text.

    Past the offset, pieces are passed on unparsed.

    :raises BadRequestError: the offset cuts a character, or lies behind the
        end of the text.
    """
    if not offset:
        return iter(pieces)
    return _skip(pieces, offset)


def _skip(pieces: Iterable[bytes], offset: int) -> Iterator[bytes]:
    left = offset
    for piece in pieces:
        if left > 0:
            piece, left = _skip_in_piece(piece, left)
        if piece:
            yield piece
    if left > 0:
        raise exceptions.BadRequestError(
            'the offset lies behind the end of the answer', step='resume'
        )


def _skip_in_piece(piece: bytes, offset: int) -> tuple[bytes, int]:
    """Return the rest of a piece and the offset left after it."""
    kept = []
    left = offset
    for event in piece.split(SEPARATOR):
        if event.startswith(PREFIX):
            rest, left = _skip_in_event(event, left)
            kept.append(rest)
    return b''.join(kept), left


def _skip_in_event(event: bytes, offset: int) -> tuple[bytes, int]:
    text = _text_of(json.loads(event.removeprefix(PREFIX))).encode()
    if not text or not offset:
        return b''.join([event, SEPARATOR]), offset
    rest = text[offset:]
    kept = encode_text(_decode(rest)) if rest else b''
    return kept, max(offset - len(text), 0)


def _decode(text: bytes) -> str:
    try:
        return text.decode()
    except UnicodeDecodeError as error:
        raise exceptions.BadRequestError(
            'the offset cuts a character', step='resume'
        ) from error


def texts(events: bytes) -> Iterator[str | dict]:
    """Yield the text of each event, or the error that an event holds."""
    for event in events.split(SEPARATOR):
        if event.startswith(PREFIX):
            yield _text_of(json.loads(event.removeprefix(PREFIX)))


def _text_of(chunk: dict) -> str | dict:
    error = chunk.get('error')
    if error:
        return error
    deltas = [choice['delta'] for choice in chunk.get('choices', [])]
    return ''.join(delta.get('content') or '' for delta in deltas)
