"""Configurations: what the platform's operator and hosts' settings say."""

import contextlib
import functools
import itertools
import socket

HOST = 'shop.example'
ENGINES = 'engines'
TOOLS = 'tools'
STRIDE = 10
"""Tokens of an event."""
TIMEOUT_MS = 4000
GOAL_MS = 500
GAP_TARGET_MS = 150
RETAIN_SECONDS = 60


_BLOCKS = range(10_240, 19_840, 600)
"""First ports of blocks of 600 ports, below the range from which systems choose
the ports of connections: none takes a host's port while the host restarts."""


def _take_block():
    """Return a block's ports and what keeps other test processes from it."""
    for first in _BLOCKS:
        holder = socket.socket(type=socket.SOCK_DGRAM)
        try:
            holder.bind(('127.0.0.1', first))
        except OSError:
            holder.close()
            continue
        return itertools.cycle(range(first + 1, first + _BLOCKS.step)), holder
    raise RuntimeError('all blocks of ports are taken')


@functools.cache
def _block():
    """Return the block of this process."""
    return _take_block()


def free_port():
    """Return a loopback port that nobody listens on, another one each time.

    Test processes that run side by side use different ones.
    """
    for port in _block()[0]:
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind(('127.0.0.1', port))
            return port
    raise RuntimeError('no port is free')


def route(name, prefix, kind, service, **fields):
    """Return a route as the operator writes it."""
    return {
        'Name': name,
        'Host': HOST,
        'PathPrefix': prefix,
        'Kind': kind,
        'TimeoutMs': TIMEOUT_MS,
        'GoalMs': GOAL_MS,
        'Service': service,
        'RetainS': RETAIN_SECONDS,
        **fields,
    }


def talk_route():
    """Return a route that keeps turns whose streams may be taken up."""
    return route(
        'talk',
        '/talk/',
        'stream',
        ENGINES,
        Retain=True,
        Resumable=True,
        Attempts=2,
    )


def configuration(version=3, **limits):
    """Return a configuration with a route of each kind."""
    return {
        'Version': version,
        'Routes': [
            route('chat', '/chat/', 'stream', ENGINES, Retain=True, Attempts=2),
            route(
                'ask',
                '/ask/',
                'stream',
                ENGINES,
                Resumable=True,
                Attempts=2,
                GapTargetMs=GAP_TARGET_MS,
            ),
            route('look', '/look/', 'safe', TOOLS, Attempts=2),
            route('order', '/order/', 'unsafe', TOOLS, Attempts=1),
            route('slow', '/order/slow/', 'unsafe', TOOLS, TimeoutMs=300),
        ],
        'Services': [
            {'Name': ENGINES, 'Engine': {'Slots': 4, 'Stride': STRIDE}},
            {'Name': TOOLS},
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 100_000,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
            **limits,
        },
    }
