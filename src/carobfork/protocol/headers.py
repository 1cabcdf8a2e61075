"""Names of the HTTP headers that callers and hosts exchange."""

PROGRAM = 'Carobfork-Program'
TOKEN = 'Carobfork-Token'  # noqa: S105
CALL = 'Carobfork-Call'
OUTCOME = 'Carobfork-Outcome'
FORWARDED = 'Carobfork-Forwarded'
WORKER = 'Carobfork-Worker'
OFFSET = 'Carobfork-Offset'
AFTER = 'Carobfork-After'
PASSED_ON = (PROGRAM, TOKEN, CALL, OFFSET, AFTER)
