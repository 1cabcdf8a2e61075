"""Benches: measurements over real processes.

Importing the package lets blocking calls yield, before any library is
imported that makes them.
"""

from gevent import monkey

monkey.patch_all()
