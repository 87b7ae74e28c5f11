"""Help texts for operators.

They describe the topics of the command language, and what each refusal reason
means.
"""

import types
from collections.abc import Mapping
from typing import Final

from ebonycleat.internal.request.refusal import Reason

_OVERVIEW: Final = """\
Changes:  create, put, change, withdraw, fence node NAME
Several:  CHANGE; CHANGE   or   begin ... commit
Trial:    dry run CHANGE
Queries:  show teams|keys|routes|nodes|version|history|refusals,
          show change ID, explain refusal REASON,
          wait for VERSION|ID
Words after # are a comment. "help TOPIC" says more; topics: team, key,
route, fence, begin, dry-run, show, explain, wait, conflict."""

_TEAM: Final = """\
create team NAME rate NUMBER[/s] burst NUMBER zones ZONE[=WEIGHT], ...
put team NAME ...          like create, but replaces a team that exists
change team NAME [rate NUMBER] [burst NUMBER]
withdraw team NAME         also withdraws all its keys
Rate (requests/s) and burst hold for the whole fleet; zone weights divide
them and are fixed while the team exists."""

_KEY: Final = """\
create key DIGEST for team NAME
put key DIGEST for team NAME    also moves a key to another team
withdraw key DIGEST             in force within seconds, also for callers
                                that are connected
DIGEST is the SHA-256 of the key in hexadecimal: printf %s KEY | sha256sum.
The key itself is never entered here."""

_ROUTE: Final = """\
create route NAME to SERVICE methods GET, POST path /PREFIX
    priority critical|high|normal|low|lowest
    [retries NUMBER] [timeout NUMBER ms] [[not] idempotent]
    [[not] open to all]
put route NAME ...         like create, but replaces a route that exists
change route NAME ...      changes only what is named
withdraw route NAME
The longest path prefix decides. Without other words a route has no
retries, a timeout of 10000 ms, is not idempotent and needs a key."""

_FENCE: Final = """\
fence node NAME
Asserts that the VM that had this node id until now is gone for good, so
that other nodes may take over what it owned. It cannot be undone: never
fence a VM that may come back, because both could then own the same part of
a budget. A later VM with the same id can be fenced in its turn."""

_BEGIN: Final = """\
begin
  create team a rate 5 burst 5 zones z1
  create key DIGEST for team a
commit
All changes between begin and commit (or joined by ";") take effect
together, or none of them does."""

_DRY_RUN: Final = """\
dry run CHANGE; CHANGE
Checks against the configuration in force in the node and changes nothing.
A later change by somebody else can still win over the real one."""

_SHOW: Final = """\
show teams | routes | nodes | version
show keys [of team NAME]   digests and teams, never keys
show refusals [by team|route|priority|zone|reason]
                           counts of the answering node since its start
show history [NUMBER]      newest changes first, rejected ones too
show change ID             one change by its operation id"""

_EXPLAIN: Final = """\
explain refusal REASON
REASON is the value of the Ebonycleat-Reason header of a refusal."""

_WAIT: Final = """\
wait for VERSION           until the node has this version or a later one
wait for ID                until the change with this operation id is
                           accepted or rejected"""

_CONFLICT: Final = """\
Each change names the versions it was based on. When two operators change
the same thing, the change that comes first in the log is accepted, and the
other one is rejected and names the winner. Look at it with "show change ID"
and decide anew; nothing of the rejected change is in force.
When the outcome is unknown, "wait for ID" tells it; a change sent again
with the same operation id never takes effect twice."""

HELP_BY_TOPIC: Final[Mapping[str, str]] = types.MappingProxyType({
    '': _OVERVIEW,
    'team': _TEAM,
    'key': _KEY,
    'route': _ROUTE,
    'fence': _FENCE,
    'begin': _BEGIN,
    'dry-run': _DRY_RUN,
    'show': _SHOW,
    'explain': _EXPLAIN,
    'wait': _WAIT,
    'conflict': _CONFLICT,
})

ADVICE_BY_REASON: Final[Mapping[Reason, str]] = types.MappingProxyType({
    Reason.BAD_REQUEST: (
        'The request cannot be understood, or its path is ambiguous. '
        'The caller must correct it.'
    ),
    Reason.NO_ROUTE: (
        'No route has this method and path. Compare with "show routes".'
    ),
    Reason.MISSING_KEY: 'The route needs a key and none came.',
    Reason.UNKNOWN_KEY: (
        'No team has this key, or it was withdrawn long ago. '
        'Compare its digest with "show keys".'
    ),
    Reason.WITHDRAWN_KEY: (
        'The key or its team was withdrawn. Give the caller another key.'
    ),
    Reason.MISSING_IDEMPOTENCY_KEY: (
        'The route is not idempotent; the caller must send an '
        'Idempotency-Key header, so that the request runs at most once.'
    ),
    Reason.OVER_RATE: (
        'The team is over its rate and burst. The caller waits for the time '
        'in Retry-After, or the rate is raised with "change team".'
    ),
    Reason.BUDGET_UNAVAILABLE: (
        'The owner of the team budget cannot be reached. It recovers by '
        'itself; if the VM of the owner is gone for good, use "fence node".'
    ),
    Reason.SHED: (
        'The service is overloaded and this request ranks too low. '
        'Compare the priority of its route with "show routes".'
    ),
    Reason.QUEUE_FULL: 'The queue of the target is full. Retry later.',
    Reason.NODE_SATURATED: (
        'All worker threads of the node that the caller reached are busy. '
        'Retry at another node.'
    ),
    Reason.DEADLINE: (
        'The request could not start or finish within its time. Compare '
        'the timeout of its route with the service times.'
    ),
    Reason.CANCELLED: 'The caller went away before the answer.',
    Reason.DRAINING: 'The target is being stopped. Retry at another one.',
    Reason.NO_TARGET: (
        'No target of the service is live. Compare with "show nodes".'
    ),
    Reason.NO_CONFIGURATION: (
        'The node has just started and has no configuration yet: the log '
        'and all its peers are out of reach.'
    ),
    Reason.DEDUPE_UNAVAILABLE: (
        'The owner of the idempotency keys cannot be reached, so nobody can '
        'tell whether this request ran before. Retry with the same key.'
    ),
    Reason.OUTCOME_UNKNOWN: (
        'The request may have run and its answer is lost. Look at its '
        'effect before it is sent again with a new key.'
    ),
    Reason.TARGET_FAILED: 'The target answered with an error or not at all.',
    Reason.TRUNCATED_ANSWER: (
        'The answer of the target was shorter than it had declared.'
    ),
    Reason.CONNECTION_LOST: 'A connection closed before the answer came.',
    Reason.CRASH_SUSPECT: (
        'Two targets died while they ran this request. It is refused for '
        '10 minutes; look at the request and the crash.'
    ),
    Reason.UNSENDABLE: (
        'The request cannot be written as an HTTP request, for example '
        'because the name of its team has a line break. The log of the node '
        'has the error.'
    ),
})
