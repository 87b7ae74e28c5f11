"""Observes whether a target is cold, and sends it health checks."""

from collections.abc import Callable

from ebonycleat.internal.connection.client_requests import (
    InFlightRequest,
    OutgoingRequest,
    SendFailure,
    SendFailureKind,
    SendResult,
    accept_any_headers,
)
from ebonycleat.internal.connection.http_messages import encode_request_head
from ebonycleat.internal.process.admission.warm_up import (
    UNCONFIGURED_RATE_PER_S,
    WarmUpLimit,
)
from ebonycleat.internal.process.callbacks import do_nothing
from ebonycleat.internal.process.event_log import EventLog
from ebonycleat.internal.process.gate_calls import TargetChannel
from ebonycleat.internal.version.mesh_configuration import ConfigurationIndex

CHECK_TIMEOUT_S = 2.0
"""Targets that do not tell their pace answer once a slot is free."""

BROKEN_KINDS = frozenset((
    SendFailureKind.NOT_CONNECTED,
    SendFailureKind.CLOSED,
    SendFailureKind.TRUNCATED,
))
"""Failures after which the target may have started anew. All others are
connections that this node has closed itself."""


class ColdTargetWatch:
    """Tells the limit of a cold target what is known of the target.

    ``on_released`` is called when the limit has ended. No check is sent while
    ``is_evacuated`` is true. ``cause`` says why the warmth is not known.
    """

    def __init__(
        self,
        limit: WarmUpLimit,
        channel: TargetChannel,
        log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        """Start with an unknown target; ``clock`` is in seconds."""
        self.limit = limit
        self.channel = channel
        self.log = log
        self.clock = clock
        self.on_released: Callable[[], None] = do_nothing
        self.health_path = ''
        self.is_configured = False
        self.is_evacuated = False
        self.cause = 'process start'
        self.in_flight: InFlightRequest | None = None
        self.sent_at: float = 0
        self.limited_since: float | None = None
        self.checks = 0
        self.unanswered_checks = 0
        channel.pool.on_idle_lost = self.record_idle_lost
        limit.record_unknown(clock())

    def apply_configuration(self, index: ConfigurationIndex | None) -> None:
        """Adopt the limit of the target's service, None before it is known."""
        now = self.clock()
        if index is None:
            self.limit.configure(UNCONFIGURED_RATE_PER_S, now)
            return
        self.is_configured = True
        service = index.configuration.services.get(self.channel.target.service)
        self.health_path = '' if service is None else service.health_path
        rate_per_s = 0 if service is None else service.warm_up_rate_per_s
        self.limit.configure(rate_per_s, now)
        self.update()

    def record_unknown(self, cause: str) -> None:
        """Record an event after which the target may be cold."""
        self.cause = cause
        self.limit.record_unknown(self.clock())
        self.update()

    def record_heartbeat(self, left_s: float) -> None:
        """Record how long a heartbeat says that the target stays cold."""
        self.limit.record_heartbeat(left_s, self.clock())
        self.update()

    def record_failure(self, kind: SendFailureKind) -> None:
        """Record that a request got no response."""
        if kind in BROKEN_KINDS:
            self.record_unknown(kind.value)

    def record_idle_lost(self) -> None:
        """Record that the target closed a connection that was not in use."""
        self.record_unknown('idle connection closed')

    def set_evacuated(self, *, is_evacuated: bool) -> None:
        """Record that the evacuation of the own zone has begun or ended."""
        self.is_evacuated = is_evacuated
        if is_evacuated:
            if self.in_flight is not None:
                self.in_flight.cancel()
            return
        self.record_unknown('evacuation ended')

    def update(self) -> None:
        """Log whether the limit has begun or ended; send a check if due."""
        if not self.is_configured:
            return
        now = self.clock()
        is_limited = self.limit.is_limited(now)
        if is_limited and self.limited_since is None:
            self.limited_since = now
            self.log_begin(now)
        elif not is_limited and self.limited_since is not None:
            self.log_end(now - self.limited_since)
            self.limited_since = None
            self.on_released()
        if self.in_flight is None:
            self.check_if_due(now)
        elif now - self.sent_at > CHECK_TIMEOUT_S:
            self.in_flight.cancel()

    def gauges(self) -> dict[str, float]:
        """Return the metrics of the limit."""
        return {
            'gate.cold': int(self.limit.is_limited(self.clock())),
            'gate.cold_starts': self.limit.limited_starts,
            'gate.health_checks': self.checks,
            'gate.health_checks_unanswered': self.unanswered_checks,
        }

    def log_begin(self, now: float) -> None:
        """Log that the starts of calls are limited from now on."""
        is_known = self.limit.is_known
        self.log.write_limited(
            'target may be cold; its calls are limited',
            instance=self.channel.target.instance,
            cause='target says so' if is_known else self.cause,
            left_s=self.limit.cold_until - now if is_known else None,
            limit_per_s=self.limit.rate_per_s,
            connections=len(self.channel.pool.connections),
        )

    def log_end(self, limited_s: float) -> None:
        """Log that the starts of calls are not limited any more."""
        self.log.write_limited(
            'target is warm; its calls are not limited any more',
            instance=self.channel.target.instance,
            limited_s=round(limited_s, 3),
            limited_starts=self.limit.limited_starts,
            checks=self.checks,
            unanswered_checks=self.unanswered_checks,
        )

    def check_if_due(self, now: float) -> None:
        """Send a health check if one is due and may be sent."""
        if not self.limit.is_check_due(now) or not self.health_path:
            return
        if self.is_evacuated or not self.channel.target.is_usable:
            return
        self.limit.record_check(now)
        self.checks += 1
        self.sent_at = now
        try:
            request = self.build_check(now)
        except ValueError as error:
            self.log.write_limited(
                'health check cannot be encoded', error=repr(error)
            )
            return
        evidence_count = self.limit.evidence_count
        self.in_flight = self.channel.pool.send(
            request, lambda result: self.finish_check(result, evidence_count)
        )

    def build_check(self, now: float) -> OutgoingRequest:
        """Encode a health check.

        It has a connection of its own, because its response need not name the
        request and could be the copy of an earlier one.
        """
        pool = self.channel.pool
        headers = self.channel.protocol.render_health_check(
            f'{pool.host}:{pool.port}',
            self.channel.target.instance,
            CHECK_TIMEOUT_S,
        )
        return OutgoingRequest(
            encode_request_head('GET', self.health_path, headers, 0),
            accept_any_headers,
            is_single=True,
            may_send=lambda: (
                not self.is_evacuated
                and self.channel.target.is_usable
                and self.limit.may_send(now, self.clock(), has_token=True)
            ),
        )

    def finish_check(self, result: SendResult, evidence_count: int) -> None:
        """Adopt what a response says, if it is the target's own.

        ``evidence_count`` is that of the limit when the check was sent.

        The warmth counts as unknown after a connection that broke or could
        not be opened, as for calls.
        """
        self.in_flight = None
        if isinstance(result, SendFailure):
            self.unanswered_checks += 1
            self.record_failure(result.kind)
            return
        report = self.channel.protocol.parse_health(result)
        instance = self.channel.target.instance
        if report is None or report.instance != instance:
            self.unanswered_checks += 1
            self.log.write_limited(
                'health check has no answer that counts',
                instance=instance,
                status=result.status,
                answering_instance=None if report is None else report.instance,
            )
            return
        self.limit.record_health(
            report.warm_up_left_s, evidence_count, self.clock()
        )
        self.update()
