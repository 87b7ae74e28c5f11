"""The entry of a mesh node: takes callers' requests and answers them."""

import dataclasses
import math
from collections.abc import Callable, Iterable
from typing import TypeAlias

from ebonycleat.internal.connection.contained_errors import call_contained
from ebonycleat.internal.connection.http_listener import (
    REFUSED_BODY_RETRY_AFTER_S,
    Exchange,
    ExchangeHandler,
)
from ebonycleat.internal.connection.http_messages import (
    HttpRequest,
    HttpResponse,
)
from ebonycleat.internal.connection.platform_interfaces import (
    CallerProtocol,
    CallerRequest,
)
from ebonycleat.internal.process.entry_backpressure import EntryBackpressure
from ebonycleat.internal.process.event_log import EventLog
from ebonycleat.internal.process.gate_calls import GateCall
from ebonycleat.internal.process.mesh_admission import (
    AdmittedRequest,
    MeshAdmission,
    RequestOrigin,
)
from ebonycleat.internal.process.mesh_metrics import MeshMetrics
from ebonycleat.internal.process.retry_budget import RetryBudget
from ebonycleat.internal.process.route_call_counts import RouteCallCounts
from ebonycleat.internal.process.router import Router
from ebonycleat.internal.process.stop_admission import (
    STOPPING_REFUSAL,
    StopAdmission,
)
from ebonycleat.internal.process.token_exchange import TokenExchanger
from ebonycleat.internal.request.call import Answer
from ebonycleat.internal.request.mesh_request_run import (
    GateClient,
    MeshRequestRun,
)
from ebonycleat.internal.request.refusal import (
    Outcome,
    Reason,
    Refusal,
    refuse_not_run,
    refuse_outcome_unknown,
)

ParentFinder: TypeAlias = Callable[[Iterable[str]], GateCall | None]

SURPLUS_RETRY_AFTER_S = 0.5
"""Retry-After of a request on a connection beyond the limit is this much to
twice as much: open requests end all the time."""

MIN_SHED_RETRY_AFTER_S = 0.3
SHED_RETRY_AFTER_RANGE_S = 0.7
"""Retry-After of a request that the entry sheds is the first of these, plus
the second times the fraction that is shed. Callers wait at most a third of the
time that they have left, about 1.5 s."""

FAILED_REFUSAL = refuse_outcome_unknown(
    Reason.NODE_FAILED, 'the node failed while it handled the request'
)

TEAM_LIMIT_LOG_INTERVAL_S = 10.0
"""A team that stays over its share is logged once in this time."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryComponents:
    """Components that all requests of one entry use."""

    protocol: CallerProtocol
    admission: MeshAdmission
    find_parent: ParentFinder
    tokens: TokenExchanger
    gate_client: GateClient
    call_counts: RouteCallCounts
    router: Router
    budget: RetryBudget
    metrics: MeshMetrics
    log: EventLog
    clock: Callable[[], float]


class MeshEntry(ExchangeHandler):
    """Answers the callers of one node.

    ``runs`` has the admitted requests that have no final answer yet.
    """

    def __init__(self, components: EntryComponents) -> None:
        """Use the given components."""
        self.components = components
        self.backpressure = EntryBackpressure(components.call_counts)
        self.stop_admission = StopAdmission()
        self.team_limits_logged_at: dict[str, float] = {}
        self.runs: set[MeshRequestRun] = set()

    def handle_exchange(self, exchange: Exchange) -> None:
        """Admit a request and send it to a target, or refuse it.

        An admitted request waits for a token of its team's rate.
        """
        components = self.components
        caller_request = components.protocol.parse_request(exchange.request)
        if isinstance(caller_request, Refusal):
            self.refuse(exchange, '', caller_request)
            return
        connection = exchange.connection
        if connection.is_surplus and connection.listener.is_full():
            self.refuse_surplus(exchange, caller_request.request_id)
            return
        admitted = components.admission.admit(
            exchange.request,
            caller_request,
            self.find_origin(exchange, caller_request),
            components.clock(),
        )
        if isinstance(admitted, Refusal):
            self.log_refusal(caller_request, admitted)
            self.refuse(exchange, caller_request.request_id, admitted)
            return
        self.backpressure.record_call(admitted, components.clock())
        refusal = self.check_backpressure(admitted) or self.check_stop(admitted)
        if refusal is not None:
            self.refuse(exchange, caller_request.request_id, refusal)
            return
        components.tokens.acquire(
            admitted.call.team,
            lambda granted: self.answer_errors(
                exchange, self.handle_token_decision, admitted, granted
            ),
        )

    def answer_errors(
        self,
        exchange: Exchange,
        action: Callable[..., None],
        *details: object,
    ) -> None:
        """Go on with a request; answer it if that fails.

        A target may have run it by then.
        """
        if not call_contained(
            'request of a caller', action, exchange, *details
        ):
            request = self.components.protocol.parse_request(exchange.request)
            request_id = (
                '' if isinstance(request, Refusal) else request.request_id
            )
            self.refuse(exchange, request_id, FAILED_REFUSAL)

    def find_origin(
        self, exchange: Exchange, caller_request: CallerRequest
    ) -> RequestOrigin:
        """Tell whether a caller makes a request, or for what a target may.

        Targets never get a key, so a connection that has carried one belongs
        to a caller.
        """
        connection = exchange.connection
        if caller_request.key:
            connection.has_carried_key = True
        if connection.has_carried_key:
            return RequestOrigin(is_caller=True)
        parent = self.components.find_parent(caller_request.ancestor_ids)
        return RequestOrigin(parent=None if parent is None else parent.call)

    def refuse_dropped_body(self, exchange: Exchange) -> None:
        """Refuse a request whose body found no room, as not run."""
        caller_request = self.components.protocol.parse_request(
            exchange.request
        )
        if isinstance(caller_request, Refusal):
            self.refuse(exchange, '', caller_request)
            return
        refusal = refuse_not_run(
            Reason.NODE_SATURATED,
            'the node holds the bodies of too many requests; retry later',
            retry_after_s=REFUSED_BODY_RETRY_AFTER_S
            * self.components.tokens.rng.uniform(1, 2),
        )
        self.components.log.write_limited(
            'request refused: no room for its body',
            request=caller_request.request_id,
            held_bytes=exchange.connection.listener.account.held_bytes,
            limit=exchange.connection.listener.account.limit,
            retry_after_s=refusal.retry_after_s,
        )
        self.refuse(exchange, caller_request.request_id, refusal)

    def refuse_surplus(self, exchange: Exchange, request_id: str) -> None:
        """Refuse a request on a connection beyond the limit."""
        refusal = refuse_not_run(
            Reason.NODE_SATURATED,
            'the node has too many connections; retry later',
            retry_after_s=SURPLUS_RETRY_AFTER_S
            * self.components.tokens.rng.uniform(1, 2),
        )
        self.components.log.write_limited(
            'request refused: too many connections',
            request=request_id,
            connections=len(exchange.connection.listener.connections),
            limit=exchange.connection.listener.limits.connections,
            retry_after_s=refusal.retry_after_s,
        )
        self.refuse(exchange, request_id, refusal)

    def may_run_beside(self, request: HttpRequest) -> bool:
        """Let idempotent requests run beside others of their connection."""
        components = self.components
        caller_request = components.protocol.parse_request(request)
        index = components.admission.holder.index
        if isinstance(caller_request, Refusal) or index is None:
            return False
        route = index.find_route(caller_request.host, caller_request.path)
        return route is not None and route.is_idempotent

    def check_backpressure(
        self,
        admitted: AdmittedRequest,
    ) -> Refusal | None:
        """Refuse a request that an overloaded service could not take.

        Returns None if the request may go on.
        """
        components = self.components
        call = admitted.call
        fraction = self.backpressure.admitted_fraction(call, components.clock())
        if self.backpressure.admit(call, fraction):
            return None
        wait_s = (
            MIN_SHED_RETRY_AFTER_S + (1 - fraction) * SHED_RETRY_AFTER_RANGE_S
        )
        wait_s *= components.tokens.rng.uniform(1, 2)
        self.record_team_limit(admitted)
        components.log.write_limited(
            'request shed at the entry',
            request=admitted.request_id,
            route=call.route,
            team=call.team,
            part_admitted=round(fraction, 3),
            full=[
                dataclasses.astuple(overloaded)
                for overloaded in self.backpressure.overloaded_on_route(
                    call.route,
                    components.clock(),
                )
            ],
            retry_after_s=wait_s,
        )
        return refuse_not_run(
            Reason.SHED,
            'a service that requests on this route reach is overloaded; '
            'retry later',
            retry_after_s=wait_s,
        )

    def record_team_limit(self, admitted: AdmittedRequest) -> None:
        """Count a request shed since its team is over its share, and log it."""
        components = self.components
        call = admitted.call
        now = components.clock()
        share = self.backpressure.find_limiting_share(call, now)
        if share is None:
            return
        components.metrics.count('shed', 'team_over_share')
        logged_at = self.team_limits_logged_at.get(call.team, -math.inf)
        if now - logged_at < TEAM_LIMIT_LOG_INTERVAL_S:
            return
        self.team_limits_logged_at[call.team] = now
        components.log.write_limited(
            'team limited to its share',
            request=admitted.request_id,
            team=call.team,
            route=call.route,
            service=share.service,
            calls_per_s=round(share.calls_per_s, 2),
            weight=share.weight,
            part_admitted=round(share.team_fraction, 3),
            part_of_class=round(share.class_fraction, 3),
        )

    def handle_token_decision(
        self,
        exchange: Exchange,
        admitted: AdmittedRequest,
        granted: bool,
    ) -> None:
        """Send a request whose team has a token for it; else refuse it.

        The token of a caller that has left goes back to its team.
        """
        if exchange.is_finished:
            if granted:
                self.components.tokens.return_token(admitted.call.team, 0)
            return
        team = admitted.call.team
        if granted:
            stop_refusal = self.check_stop(admitted)
            if stop_refusal is None:
                self.run(exchange, admitted)
            else:
                self.components.tokens.return_token(team, 0)
                self.refuse(exchange, admitted.request_id, stop_refusal)
            return
        refusal = refuse_not_run(
            Reason.OVER_RATE,
            'the requests of the team exceed its rate; retry later',
            retry_after_s=self.components.tokens.retry_after_s(team),
        )
        self.components.log.write_limited(
            'request refused: team over its rate',
            request=admitted.request_id,
            team=team,
            holder=self.components.tokens.find_holder(team),
            retry_after_s=refusal.retry_after_s,
            version=self.components.admission.holder.version,
        )
        self.refuse(exchange, admitted.request_id, refusal)

    def check_stop(self, admitted: AdmittedRequest) -> Refusal | None:
        """Refuse a request if the node may end before its answer."""
        components = self.components
        call = admitted.call
        now = components.clock()
        refusal = self.stop_admission.check(call, now)
        if refusal is not None:
            components.log.write_limited(
                'request refused: the node stops before its answer',
                request=admitted.request_id,
                route=call.route,
                time_left_s=round(call.deadline - now, 3),
                retry_after_s=refusal.retry_after_s,
            )
        return refusal

    def withdraw_waiting(self) -> None:
        """Withdraw the requests that wait at a gate, because the node ends.

        What has not run is refused, also if it waits at another node.
        """
        for run in tuple(self.runs):
            run.withdraw(STOPPING_REFUSAL)

    def run(self, exchange: Exchange, admitted: AdmittedRequest) -> None:
        """Offer an admitted request to gates until it has an answer."""
        components = self.components
        run = MeshRequestRun(
            admitted,
            components.gate_client,
            components.router,
            components.budget,
            lambda load: self.backpressure.record_shares(
                admitted,
                load.shares,
                components.clock(),
            ),
            lambda ended, result: self.answer_errors(
                exchange, self.finish, ended, result
            ),
        )
        exchange.on_abandoned = lambda: self.abandon(run)
        self.runs.add(run)
        run.start()

    def finish(
        self,
        exchange: Exchange,
        run: MeshRequestRun,
        result: Answer | Refusal,
    ) -> None:
        """Answer the caller with the final result of its request.

        A token whose request did not run is given back to the team.
        """
        self.runs.discard(run)
        components = self.components
        admitted = run.admitted
        call = admitted.call
        now = components.clock()
        latency_s = now - run.started_at
        self.stop_admission.slowest_runs.record(call.route, latency_s, now)
        if isinstance(result, Refusal) and result.outcome is Outcome.NOT_RUN:
            components.tokens.return_token(call.team, latency_s)
        if run.moved_from:
            is_answered = isinstance(result, Answer)
            outcome = 'answered' if is_answered else 'refused'
            components.metrics.count('moved', outcome)
        if isinstance(result, Answer):
            components.metrics.count_answer(call, result.status, latency_s)
            exchange.respond(
                HttpResponse(result.status, result.headers, result.body),
            )
            return
        components.log.write_limited(
            'request refused',
            request=admitted.request_id,
            route=call.route,
            team=call.team,
            service=call.service,
            reason=result.reason.value,
            outcome=result.outcome.value,
            detail=result.detail,
            nodes_tried=sorted(run.tried_nodes),
            moved_from=run.moved_from,
            latency_ms=round(latency_s * 1000),
            version=components.admission.holder.version,
        )
        self.refuse(exchange, admitted.request_id, result)

    def abandon(self, run: MeshRequestRun) -> None:
        """Cancel the request of a caller that has disconnected."""
        self.runs.discard(run)
        run.cancel()
        self.components.metrics.count('abandoned')
        self.components.log.write_limited(
            'caller disconnected before its answer was ready',
            request=run.admitted.request_id,
            route=run.admitted.call.route,
            nodes_tried=sorted(run.tried_nodes),
        )

    def refuse(
        self,
        exchange: Exchange,
        request_id: str,
        refusal: Refusal,
    ) -> None:
        """Answer with a refusal, and count it."""
        self.components.metrics.count_refusal(refusal)
        exchange.respond(
            self.components.protocol.render_refusal(request_id, refusal),
        )

    def log_refusal(
        self, caller_request: CallerRequest, refusal: Refusal
    ) -> None:
        """Log why the entry refused a request."""
        components = self.components
        components.log.write_limited(
            'request refused at the entry',
            request=caller_request.request_id,
            host=caller_request.host,
            path=caller_request.path,
            reason=refusal.reason.value,
            retry_after_s=refusal.retry_after_s,
            version=components.admission.holder.version,
            proof_age_s=components.admission.holder.proof_age_s(
                components.clock()
            ),
        )
