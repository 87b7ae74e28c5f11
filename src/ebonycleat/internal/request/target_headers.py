"""Headers that a target sees: what callers may send on, and our own.

The list of forwarded headers is closed, so that no key can reach a target.
"""

from ebonycleat.internal.request.call import Call, HeaderPairs
from ebonycleat.internal.request.incoming import FORWARDED_HEADERS

MILLISECONDS_PER_S = 1000


def build_target_headers(call: Call, context: str, now: float) -> HeaderPairs:
    """Build the headers of one call; ``now`` is on the loop's clock."""
    time_left_ms = max(0, int((call.deadline - now) * MILLISECONDS_PER_S))
    own = [
        ('Ebonycleat-Request-Id', call.root_id),
        ('Ebonycleat-Deadline-Ms', str(time_left_ms)),
    ]
    if call.team:
        own.append(('Ebonycleat-Team', call.team))
    if call.idempotency_key:
        own.append(('Idempotency-Key', call.idempotency_key))
    if context:
        own.append(('Ebonycleat-Context', context))
    forwarded = tuple(
        pair for pair in call.headers if pair[0].lower() in FORWARDED_HEADERS
    )
    return (*forwarded, *own)
