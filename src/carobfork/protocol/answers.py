"""Answers: what a model's server-sent events spell, decoded once a call."""

import attrs
import msgspec

from carobfork import exceptions
from carobfork.coordination import ports
from carobfork.protocol import sse


@attrs.frozen
class _Delta:
    content: str | None = None  # noqa: WPS110


@attrs.frozen
class _Choice:
    delta: _Delta


@attrs.frozen
class _PromptDetails:
    cached_tokens: int = 0


@attrs.frozen
class _Usage:
    total_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _PromptDetails | None = None


@attrs.frozen
class _Chunk:
    choices: list[_Choice] = attrs.Factory(list)
    usage: _Usage | None = None


_decoder = msgspec.json.Decoder(list[_Chunk])


def decode_answer(events: bytes) -> ports.ModelAnswer:
    """Return the answer that a call's events spell.

    :raises CallFailedError: the engine sent something else.
    """
    lines = [
        event.removeprefix(sse.PREFIX)
        for event in events.split(sse.SEPARATOR)
        if event.startswith(sse.PREFIX)
    ]
    try:
        chunks = _decoder.decode(b'[%b]' % b','.join(lines))
    except msgspec.MsgspecError as error:
        raise exceptions.CallFailedError(
            'the engine sent malformed events', step='decode answer'
        ) from error
    return _assemble(chunks)


def _assemble(chunks: list[_Chunk]) -> ports.ModelAnswer:
    parts = [
        choice.delta.content or ''
        for chunk in chunks
        for choice in chunk.choices
    ]
    usages = [chunk.usage for chunk in chunks if chunk.usage]
    usage = usages[-1] if usages else _Usage(len(parts), len(parts))
    details = usage.prompt_tokens_details or _PromptDetails()
    return ports.ModelAnswer(
        text=''.join(parts),
        tokens=usage.total_tokens,
        cached_tokens=details.cached_tokens,
        output_tokens=usage.completion_tokens,
    )
