"""Headers of the platform, in lower case as they are compared."""

REQUEST_ID = 'x-request-id'
# Milliseconds that the sender will wait, counted from its sending.
DEADLINE_MS = 'x-deadline-ms'
AUTHORIZATION = 'authorization'
BEARER_PREFIX = 'bearer '
TEAM_ID = 'x-tenant-id'
# Service of the VM where the request began, not of the node that forwards.
ORIGIN_SERVICE = 'x-caller-service'
EXPECTED_INSTANCE = 'x-expected-instance'
ANSWERING_INSTANCE = 'x-upstream-instance'
# Running, waiting, slots.
TARGET_LOAD = 'x-upstream-load'
NOT_EXECUTED = 'x-not-executed'
RETRY_AFTER = 'retry-after'
HOST = 'host'
CONTENT_ENCODING = 'content-encoding'

# Set by the system itself, whatever a caller sends.
SET_BY_NODE = frozenset((
    REQUEST_ID,
    DEADLINE_MS,
    AUTHORIZATION,
    TEAM_ID,
    ORIGIN_SERVICE,
    EXPECTED_INSTANCE,
    HOST,
))

# Meant for nodes; callers have no use for them.
INTERNAL_ANSWER_HEADERS = frozenset((
    ANSWERING_INSTANCE,
    TARGET_LOAD,
    NOT_EXECUTED,
))
