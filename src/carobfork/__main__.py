"""Run the command line: ``python -m carobfork``."""

from carobfork.commands import main

main.main()
