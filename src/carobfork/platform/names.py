"""Define the platform's header names, object kinds and states.

Header names are in lower case where they are compared with received ones, and
spelled as the platform does where they are sent.
"""

ATTEMPT = 'x-attempt-id'
DEADLINE = 'x-deadline-ms'
PROGRAM = 'x-program-id'
SESSION = 'x-session-id'
PROGRAM_DEADLINE = 'x-finish-ms'
"""Time left until the whole program should be finished, not only this call."""
BUDGET = 'x-token-budget'
TOKENS = 'x-token-count'
"""Tokens of the prompt and most tokens of the output, separated by a comma."""
PREVIOUS_TURN = 'x-previous-turn'
LAST_EVENT = 'last-event-id'
RESUMES = 'resumes'
"""The attempt that brought the first event of the stream to be resumed."""
PROMPT_PREFIX = 'x-prompt-prefix'
NOT_RUN = 'x-not-run'
LOAD = 'x-server-load'
API_KEY = 'x-api-key'
TENANT = 'x-tenant'
LIMIT = 'server-limit'
"""Requests a second that a worker takes from all hosts together."""
LEAVING = 'server-leaving'
LEAVING_SET = '1'
"""Value of a worker that leaves."""
ATTEMPT_FIELD = 'X-Attempt-Id'
EXPECT_INSTANCE = 'X-Expect-Instance'
DEADLINE_FIELD = 'X-Deadline-Ms'
TENANT_FIELD = 'X-Tenant'
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
"""Headers of callers that are not passed on, as only this system sets them."""

OF_TENANTS = frozenset(
    (
        API_KEY,
        TENANT,
        'x_api_key',
        'x_api-key',
        'x-api_key',
        'x_tenant',
    )
)
"""Headers of callers that are not passed on if there are tenants. Some servers
take an underscore in a name for a hyphen."""

UNIQUE = (
    ATTEMPT,
    DEADLINE,
    PROGRAM,
    SESSION,
    PROGRAM_DEADLINE,
    BUDGET,
    TOKENS,
    PREVIOUS_TURN,
    LAST_EVENT,
    RESUMES,
    PROMPT_PREFIX,
)
"""Headers of callers that may occur once."""

REPORT_PATH = '/report'
INSTANCE = 'x-instance-id'

KIND_CONFIG = 'config'
CONFIG_NAME = 'main'
KIND_SERVERS = 'servers'
KIND_RETIREMENTS = 'retirements'
KIND_STORAGE = 'carobfork-storage'
"""The storage group; the only kind that this system defines itself."""

STATE_READY = 'ready'
STATE_DRAINING = 'draining'
