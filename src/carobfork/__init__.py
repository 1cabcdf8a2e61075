"""A scheduler for agent programs.

The common case is one line::

    program = carobfork.open_program('quote', addresses=['127.0.0.1:7101'])
"""

from carobfork.api import open_program
from carobfork.exceptions import CarobforkError, Outcome
from carobfork.replies import Reply
from carobfork.sessions import Program, Session

__all__ = (
    'CarobforkError',
    'Outcome',
    'Program',
    'Reply',
    'Session',
    'open_program',
)
