"""Inputs: verbs that send what no library would send."""

import contextlib
from http import client

import gevent
from gevent import socket

from carobfork import replies
from carobfork.protocol import headers
from carobfork_standins.scenarios import language, stages

PATIENCE_SECONDS = 60
_CLIENT_ERROR = 400


@stages.verb('http')
def http(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Send a request as it is: ``http entry-1 path=/v1/programs body="{"``.

    ``program=NAME`` adds a program's headers, ``token=NAME`` takes the
    token of another one, ``key=`` is the call key.
    """
    return _exchange(stage, step, _encode(stage, step))


@stages.verb('raw')
def raw(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Send bytes that need not be HTTP: ``raw entry-1 text="GET"``.

    ``times=`` repeats them. Escapes are as in Python.
    """
    options = step.options
    text = options['text'].encode().decode('unicode_escape')
    sent = text.encode('latin-1') * int(options.get('times', '1'))
    return _exchange(stage, step, sent)


@stages.verb('connect')
def connect(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Open idle connections and keep them: ``connect entry-1 count=400``."""
    address = stage.lab.processes[step.words[0]].address
    opened = [
        socket.create_connection((address.ip, address.port), PATIENCE_SECONDS)
        for _ in range(int(step.options['count']))
    ]
    gevent.spawn(_hold, opened)
    return stages.Seen('done')


def _hold(opened: list[socket.socket]) -> None:
    for peer in opened:
        with contextlib.suppress(OSError):
            peer.recv(1)
        peer.close()


def _exchange(
    stage: stages.Stage, step: language.Step, sent: bytes
) -> stages.Seen:
    address = stage.lab.processes[step.words[0]].address
    with socket.create_connection(
        (address.ip, address.port), PATIENCE_SECONDS
    ) as peer:
        peer.sendall(sent)
        with contextlib.closing(client.HTTPResponse(peer)) as response:
            response.begin()
            return _seen(response.status, response.read())


def _encode(stage: stages.Stage, step: language.Step) -> bytes:
    options = step.options
    method = options.get('method', 'POST')
    body = options.get('body', '').replace("'", '"').encode()
    fields = {'Content-Length': str(len(body)), **_program(stage, options)}
    lines = [f'{method} {options["path"]} HTTP/1.1', 'Connection: close']
    lines.extend(f'{name}: {text}' for name, text in fields.items())
    return '\r\n'.join([*lines, '', '']).encode() + body


def _program(stage: stages.Stage, options: dict[str, str]) -> dict[str, str]:
    if 'program' not in options:
        return {}
    name = options['program']
    return {
        headers.PROGRAM: stage.programs[name].identifier,
        headers.TOKEN: stage.programs[options.get('token', name)].token,
        headers.CALL: options.get('key', 'k'),
    }


def _seen(status: int, body: bytes) -> stages.Seen:
    if status < _CLIENT_ERROR:
        return stages.Seen('done', body.decode(), status=status)
    error = replies.decode_error(body)
    return stages.Seen(error.outcome, code=error.code, status=status)
