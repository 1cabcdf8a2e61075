"""Processes that run on the platform, and how their parts are connected.

Each role is one module and imports only what it needs, since memory is
priced. Run one with ``python3 -m carobfork.roles front``.
"""
