"""Configurations: what the platform's operator and hosts' settings say."""

import contextlib
import itertools
import os
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


_LOWEST_PORT = 10_240
_HIGHEST_PORT = 32_000
"""Below the range from which systems choose the ports of connections, so that
none takes a host's port while the host restarts."""
_BLOCK_PORTS = 64
"""Ports between the first ones of test processes with adjacent identifiers."""
_FIRST_PORT = _LOWEST_PORT + os.getpid() * _BLOCK_PORTS % (
    _HIGHEST_PORT - _LOWEST_PORT
)
_ports = itertools.cycle(
    (*range(_FIRST_PORT, _HIGHEST_PORT), *range(_LOWEST_PORT, _FIRST_PORT))
)


def free_port():
    """Return a loopback port that nobody listens on, another one each time.

    Test processes that run side by side begin at different ones.
    """
    for port in _ports:
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
