"""Header names of the platform, in lower case, as they are compared."""

REQUEST_ID = 'x-request-id'
# Milliseconds that the sender waits for the response after sending.
DEADLINE_MS = 'x-deadline-ms'
AUTHORIZATION = 'authorization'
BEARER_PREFIX = 'bearer '
TEAM_ID = 'x-tenant-id'
# Service of the VM where the request started, not of the node that forwards
# it.
ORIGIN_SERVICE = 'x-caller-service'
EXPECTED_INSTANCE = 'x-expected-instance'
ANSWERING_INSTANCE = 'x-upstream-instance'
# Numbers of running requests, waiting requests and slots of the target; some
# targets add how long work takes at this moment, in percent of the usual time.
TARGET_LOAD = 'x-upstream-load'
NOT_EXECUTED = 'x-not-executed'
# Requests a second that the target takes from all machines together.
TARGET_RATE_LIMIT = 'server-limit'
TARGET_LEAVING = 'server-leaving'
# In health responses: milliseconds until the target has warmed up.
WARM_UP_LEFT_MS = 'x-warmup-ms'
RETRY_AFTER = 'retry-after'
HOST = 'host'
CONTENT_ENCODING = 'content-encoding'

# Set by nodes themselves; headers of a caller with these names are not passed
# on.
SET_BY_NODE = frozenset((
    REQUEST_ID,
    DEADLINE_MS,
    AUTHORIZATION,
    TEAM_ID,
    ORIGIN_SERVICE,
    EXPECTED_INSTANCE,
    HOST,
))

# In responses of targets: read by nodes and not passed on to callers.
INTERNAL_RESPONSE_HEADERS = frozenset((
    ANSWERING_INSTANCE,
    TARGET_LOAD,
    NOT_EXECUTED,
))
