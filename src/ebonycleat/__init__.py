"""Overload control layer for service call graphs.

A node runs next to each target, the process that serves the requests of one
service on a VM. Nodes check API keys, enforce the rates of teams over the
whole fleet, shed requests by priority under overload, limit retries, and run
non-idempotent requests at most once.
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
