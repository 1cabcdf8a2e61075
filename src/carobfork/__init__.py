"""A scheduler for agent programs.

The common case is one line::

    program = carobfork.open_program('quote', addresses=['127.0.0.1:7101'])
"""

import importlib

_EXPORTS = {  # noqa: WPS407
    'CarobforkError': 'exceptions',
    'Outcome': 'exceptions',
    'Program': 'sessions',
    'Reply': 'replies',
    'Session': 'sessions',
    'open_program': 'api',
}

__all__ = (  # noqa: F822
    'CarobforkError',
    'Outcome',
    'Program',
    'Reply',
    'Session',
    'open_program',
)


def __getattr__(name: str):  # noqa: WPS413
    """Import the callers' library when it is first used.

    Hosts import this package too, and pay for each module in memory.
    """
    if name not in _EXPORTS:
        raise AttributeError(f'module {__name__} has no attribute {name}')
    module = importlib.import_module(f'{__name__}.{_EXPORTS[name]}')
    return getattr(module, name)
