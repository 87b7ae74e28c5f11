"""The entry of a node: callers' requests in, final answers out."""

import dataclasses
from collections.abc import Callable, Iterable
from typing import TypeAlias

from ebonycleat.internal.connection.http_listener import (
    Exchange,
    ExchangeHandler,
)
from ebonycleat.internal.connection.http_messages import HttpResponse
from ebonycleat.internal.connection.platform_interfaces import (
    CallerProtocol,
    CallerRequest,
)
from ebonycleat.internal.process.event_log import EventLog
from ebonycleat.internal.process.entry_backpressure import EntryBackpressure
from ebonycleat.internal.process.gate_calls import GateCall
from ebonycleat.internal.process.mesh_admission import (
    AdmittedRequest,
    MeshAdmission,
)
from ebonycleat.internal.process.mesh_metrics import MeshMetrics
from ebonycleat.internal.process.retry_budget import RetryBudget
from ebonycleat.internal.process.route_costs import RouteCosts
from ebonycleat.internal.process.router import Router
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
)

ParentFinder: TypeAlias = Callable[[Iterable[str]], GateCall | None]

SHED_RETRY_AFTER_S = 0.3
SHED_RETRY_AFTER_RANGE_S = 0.7
"""Retry-After of a request shed at the entry, growing with the part that is
shed. Callers honour a third of the time that they have left, about 1.5 s."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryComponents:
    """What the requests of one entry share."""

    dialect: CallerProtocol
    admission: MeshAdmission
    find_parent: ParentFinder
    tokens: TokenExchanger
    access: GateClient
    costs: RouteCosts
    router: Router
    budget: RetryBudget
    metrics: MeshMetrics
    log: EventLog
    clock: Callable[[], float]


class MeshEntry(ExchangeHandler):
    """Answers the callers of one node."""

    def __init__(self, components: EntryComponents) -> None:
        """Use the given tools."""
        self.components = components
        self.backpressure = EntryBackpressure(components.costs)

    def handle_exchange(self, exchange: Exchange) -> None:
        """Admit a request and run it, or refuse it."""
        tools = self.components
        read = tools.dialect.parse_request(exchange.request)
        if isinstance(read, Refusal):
            self.refuse(exchange, '', read)
            return
        parent = tools.find_parent(read.ancestor_ids)
        admitted = tools.admission.admit(
            exchange.request,
            read,
            None if parent is None else parent.call,
            tools.clock(),
        )
        if isinstance(admitted, Refusal):
            self.log_refusal(read, admitted)
            self.refuse(exchange, read.request_id, admitted)
            return
        self.backpressure.record_call(admitted, tools.clock())
        refusal = self.check_backpressure(admitted)
        if refusal is not None:
            self.refuse(exchange, read.request_id, refusal)
            return
        tools.tokens.acquire(
            admitted.call.team,
            lambda granted: self.handle_token_decision(
                exchange, admitted, granted
            ),
        )

    def check_backpressure(
        self,
        admitted: AdmittedRequest,
    ) -> Refusal | None:
        """Refuse what a full service on the way could not take."""
        tools = self.components
        call = admitted.call
        part = self.backpressure.admitted_fraction(call, tools.clock())
        if self.backpressure.admit(call, part):
            return None
        wait_s = SHED_RETRY_AFTER_S + (1 - part) * SHED_RETRY_AFTER_RANGE_S
        wait_s *= tools.tokens.rng.uniform(1, 2)
        tools.log.write_limited(
            'request shed at the entry',
            request=admitted.request_id,
            route=call.route,
            team=call.team,
            part_admitted=round(part, 3),
            full=[
                dataclasses.astuple(full)
                for full in self.backpressure.overloaded_on_route(
                    call.route,
                    tools.clock(),
                )
            ],
            retry_after_s=wait_s,
        )
        return refuse_not_run(
            Reason.SHED,
            'a service on the way is full',
            retry_after_s=wait_s,
        )

    def handle_token_decision(
        self,
        exchange: Exchange,
        admitted: AdmittedRequest,
        granted: bool,
    ) -> None:
        """Run a request that has its team's token, refuse it without."""
        if exchange.is_finished:
            return
        if granted:
            self.run(exchange, admitted)
            return
        team = admitted.call.team
        refusal = refuse_not_run(
            Reason.OVER_RATE,
            'the team has used up its rate',
            retry_after_s=self.components.tokens.retry_after_s(team),
        )
        self.components.log.write_limited(
            'request refused: team over its rate',
            request=admitted.request_id,
            team=team,
            retry_after_s=refusal.retry_after_s,
            version=self.components.admission.holder.version,
        )
        self.refuse(exchange, admitted.request_id, refusal)

    def run(self, exchange: Exchange, admitted: AdmittedRequest) -> None:
        """Send an admitted request on its way."""
        tools = self.components
        run = MeshRequestRun(
            admitted,
            tools.access,
            tools.router,
            tools.budget,
            lambda load: self.backpressure.record_shares(
                admitted,
                load.shares,
                tools.clock(),
            ),
            lambda ended, result: self.finish(exchange, ended, result),
        )
        exchange.on_abandoned = lambda: self.abandon(run)
        run.start()

    def finish(
        self,
        exchange: Exchange,
        run: MeshRequestRun,
        result: Answer | Refusal,
    ) -> None:
        """Answer the caller."""
        tools = self.components
        admitted = run.admitted
        call = admitted.call
        latency_s = tools.clock() - run.started_at
        if isinstance(result, Refusal) and result.outcome is Outcome.NOT_RUN:
            tools.tokens.return_token(call.team, latency_s)
        if isinstance(result, Answer):
            tools.metrics.count_answer(call, result.status, latency_s)
            exchange.respond(
                HttpResponse(result.status, result.headers, result.body),
            )
            return
        tools.log.write_limited(
            'request refused',
            request=admitted.request_id,
            route=call.route,
            team=call.team,
            service=call.service,
            reason=result.reason.value,
            outcome=result.outcome.value,
            detail=result.detail,
            nodes_tried=sorted(run.tried_nodes),
            latency_ms=round(latency_s * 1000),
            version=tools.admission.holder.version,
        )
        self.refuse(exchange, admitted.request_id, result)

    def abandon(self, run: MeshRequestRun) -> None:
        """Stop the work for a caller that has left."""
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
        """Send a refusal."""
        self.components.metrics.count_refusal(refusal)
        exchange.respond(
            self.components.dialect.render_refusal(request_id, refusal),
        )

    def log_refusal(self, read: CallerRequest, refusal: Refusal) -> None:
        """Write why a request did not get past the entry."""
        tools = self.components
        tools.log.write_limited(
            'request refused at the entry',
            request=read.request_id,
            host=read.host,
            path=read.path,
            reason=refusal.reason.value,
            retry_after_s=refusal.retry_after_s,
            version=tools.admission.holder.version,
            proof_age_s=tools.admission.holder.proof_age_s(tools.clock()),
        )
