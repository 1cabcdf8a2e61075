"""Names: headers, object kinds and words of the platform's wire."""

ATTEMPT = 'x-attempt-id'
DEADLINE = 'x-deadline-ms'
PROGRAM = 'x-program-id'
SESSION = 'x-session-id'
PROGRAM_DEADLINE = 'x-finish-ms'
BUDGET = 'x-token-budget'
TOKENS = 'x-token-count'
PREVIOUS_TURN = 'x-previous-turn'
LAST_EVENT = 'last-event-id'
PROMPT_PREFIX = 'x-prompt-prefix'
NOT_RUN = 'x-not-run'
LOAD = 'x-server-load'
EXPECT_INSTANCE = 'X-Expect-Instance'
DEADLINE_FIELD = 'X-Deadline-Ms'
AFFINITY_COOKIE = 'X-Affinity-Key'

SET_BY_SYSTEM = frozenset(
    (
        DEADLINE,
        'x-expect-instance',
        'x-hold',
        'x-pin-ms',
        'x-kv-backup',
        'kv-from',
        'kv-fetch',
        'host',
    )
)
"""Headers that callers may not choose."""

KIND_CONFIG = 'config'
CONFIG_NAME = 'main'
KIND_SERVERS = 'servers'
KIND_RETIREMENTS = 'retirements'
KIND_STORAGE = 'carobfork-storage'
"""Our own kind: the storage group."""

STATE_READY = 'ready'
STATE_DRAINING = 'draining'
