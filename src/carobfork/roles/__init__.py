"""Roles: the processes that run on the platform, and how they are wired.

Each module is one role and imports what that role needs and no more, since
memory is priced. Run one with ``python3 -m carobfork.roles front``.
"""
