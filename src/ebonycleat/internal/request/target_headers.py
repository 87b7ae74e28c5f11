"""Builds the headers of a request to the target.

They are the caller's headers from an allowlist and those that the node adds.
The allowlist keeps API keys and unknown headers away from targets.
"""

from ebonycleat.internal.request.call import Call, HeaderPairs
from ebonycleat.internal.request.incoming import FORWARDED_HEADERS

MILLISECONDS_PER_S = 1000


def build_target_headers(
    call: Call, context_id: str, now: float
) -> HeaderPairs:
    """Build the headers of one call.

    ``context_id`` is the id by which the node recognizes the child calls that
    the target makes for this call; empty for none. ``now`` is on the clock of
    ``call.deadline``.
    """
    time_left_ms = max(0, int((call.deadline - now) * MILLISECONDS_PER_S))
    node_headers = [
        ('Ebonycleat-Request-Id', call.root_id),
        ('Ebonycleat-Deadline-Ms', str(time_left_ms)),
    ]
    if call.team:
        node_headers.append(('Ebonycleat-Team', call.team))
    if call.idempotency_key:
        node_headers.append(('Idempotency-Key', call.idempotency_key))
    if context_id:
        node_headers.append(('Ebonycleat-Context', context_id))
    forwarded = tuple(
        pair for pair in call.headers if pair[0].lower() in FORWARDED_HEADERS
    )
    return (*forwarded, *node_headers)
