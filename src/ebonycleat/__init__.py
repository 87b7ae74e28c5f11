"""Overload control layer for service call graphs.

One node runs beside each target. It checks keys, enforces team rates over
the whole fleet, sheds by priority, bounds retries, and runs non-idempotent
requests at most once.
"""

from ebonycleat.internal.request.call import (
    Answer,
    Call,
    CallResult,
    Priority,
    RefusedCall,
)
from ebonycleat.internal.request.refusal import Outcome, Reason, Refusal

__all__ = (
    'Answer',
    'Call',
    'CallResult',
    'Outcome',
    'Priority',
    'Reason',
    'Refusal',
    'RefusedCall',
)
