"""Hold a request and what has happened to it so far."""

import attrs

from carobfork import exceptions
from carobfork.gateway import (
    calls,
    events,
    fingerprints,
    framing,
    histories,
    program_admissions,
    routes,
    standbys,
    turns,
)
from carobfork.tenancy import credit_stocks, tenants

MIN_LEFT_MS = 15
"""Minimum time left to send a request: no backend server can answer in less."""


class DeadlineError(exceptions.UnknownOutcomeError):
    """The deadline expired after the call was sent; it may have run."""

    code = 'deadline'


class HostStoppedError(exceptions.UnknownOutcomeError):
    """The host ended while the call was running."""

    code = 'host_stopped'
    http_status = 502


@attrs.frozen
class Request:
    """A completely received request.

    :param head: its head.
    :param body: its body.
    :param arrived_ms: when it arrived.
    """

    head: framing.Head
    body: bytes
    arrived_ms: float


@attrs.define(eq=False)
class RequestContext:
    """The state of a request while it is handled.

    :param request: the request as received.
    :param call: the call that it describes.
    :param route: the route that it matched.
    :param service: the service that runs it.
    :param deadline_at_ms: when the deadline expires.
    :param body: the input that backend servers get after the history.
    :param tenant: the tenant that the caller belongs to, if any.
    :param has_tenants: whether callers are told apart by tenant.
    :param keys: identify the request whichever attempt carries it.
    :param credit: the tenant's credit for the latest attempt, if it needs one.
    :param event_log: the events that the caller received.
    :param history: what backend servers get before the input of a turn.
    :param turn: the turn, if it is part of a program's conversation.
    :param has_output: whether the latest attempt got a part of an answer.
    :param is_committed: whether its answer has begun, so that it can't be
        refused any more and waits for servers as long as it has time.
    :param is_sent: whether a backend server may have run the call.
    :param is_at_server: whether the latest attempt was sent to its server.
    :param failed_attempts: attempts that failed after the request was sent.
    :param refusals: number of workers that refused it or were unreachable.
    :param avoided: workers that have failed, refused or not gone on with it.
    :param failed: workers among them that got it and failed.
    :param standby: a place at another worker, while that of the latest attempt
        is silent.
    :param worker: the worker of the latest attempt.
    :param server_version: the version of that worker's software.
    :param required_version: the only version whose workers may go on with the
        stream, once the caller has an event of it; ``None`` before.
    :param queued_ms: total time that it has waited for slots.
    :param was_reused: whether the last failed attempt used a kept connection.
    :param last_error: why the latest attempt failed, empty if none has.
    :param failure: the error that the caller gets, if there is one.
    """

    request: Request
    call: calls.Call
    route: routes.Route
    service: str
    deadline_at_ms: float
    body: bytes
    tenant: tenants.Tenant | None = None
    keys: fingerprints.Fingerprints = fingerprints.Fingerprints()
    has_tenants: bool = False
    event_log: events.EventLog = attrs.Factory(
        lambda context: events.EventLog(
            context.call.last_event if context.resumes_stream else '',
            keeps_content=context.route.is_retained,
        ),
        takes_self=True,
    )
    credit: credit_stocks.Credit | None = None
    history: histories.History = histories.History()
    turn: turns.Turn | None = None
    has_output: bool = False
    is_committed: bool = False
    is_sent: bool = False
    is_at_server: bool = False
    failed_attempts: int = 0
    refusals: int = 0
    avoided: frozenset[str] = frozenset()
    failed: frozenset[str] = frozenset()
    standby: standbys.Standby | None = None
    worker: str = ''
    server_version: str = ''
    required_version: str | None = None
    queued_ms: float = 0
    was_reused: bool = False
    last_error: str = ''
    failure: exceptions.CarobforkError | None = None

    @property
    def body_bytes(self) -> int:
        """Length of the body that backend servers get."""
        return len(self.history) + len(self.body)

    @property
    def tenant_name(self) -> str:
        """Name of the caller's tenant, empty if there is none."""
        return self.tenant.name if self.tenant else ''

    @property
    def rank(self) -> int:
        """Priority class of the call, 0 first."""
        return tenants.combine_ranks(self.tenant, self.route.rank)

    @property
    def program_start(self) -> program_admissions.ProgramStart | None:
        """The start of a program that has to be admitted, if it is that.

        Only those of tenants with a quota are: in a flood of unlimited
        callers, the programs of all would be refused alike. A turn that a
        server has begun has been admitted.
        """
        if self.turn is None or self.tenant is None:
            return None
        has_begun = self.has_events or self.failed_attempts
        is_held = self.tenant.is_limited and not has_begun
        return self.turn.start if is_held else None

    @property
    def resumes_stream(self) -> bool:
        """Whether the caller already has events of the stream."""
        return self.route.is_resumable and bool(self.call.last_event)

    @property
    def has_events(self) -> bool:
        """Whether the caller has events of the stream, of any attempt."""
        return self.resumes_stream or self.event_log.count > 0

    def can_retry(self) -> bool:
        """Return whether it may be sent again after a failed attempt."""
        return (
            self.route.is_repeatable
            and self.failed_attempts + 1 < self.route.max_attempts
        )

    def record_output(self) -> None:
        """Record that a part of the answer goes to the caller."""
        self.has_output = True
        self.is_committed = True

    def avoid(self, instance: str) -> None:
        """Let workers that were not tried go first from now on."""
        self.avoided = self.avoided.union((instance,))

    def record_failed(self, instance: str) -> None:
        """Let all other workers go first from now on."""
        self.avoid(instance)
        self.failed = self.failed.union((instance,))

    def require_version(self, version: str) -> None:
        """Let only workers of a version go on, unless one is required."""
        if self.required_version is None:
            self.required_version = version

    def deadline_error(self, left_ms: float = 0) -> exceptions.CarobforkError:
        """Return the error for a call whose time has run out.

        :param left_ms: time left, too short to send the call again.
        """
        if self.is_sent:
            return DeadlineError(
                'the deadline expired after the call was sent',
                step='relay',
                peer=self.worker,
            )
        return exceptions.NotRunError(
            f'{left_ms:.0f} ms left before the call was sent, '
            f'{MIN_LEFT_MS} ms needed',
            step='wait',
        )

    def stop_error(self) -> exceptions.CarobforkError:
        """Return the error for a call that is not over when its host ends."""
        if self.is_sent:
            return HostStoppedError(
                'the host ended while the call was running',
                step='relay',
                peer=self.worker,
            )
        return exceptions.NotRunError(
            'the host ended before the call was sent', step='wait'
        )


def identify(
    table: routes.RouteTable, route: routes.Route, call: calls.Call
) -> tuple[calls.Call, tenants.Tenant | None]:
    """Return a call with its tenant and without its key, and the tenant.

    :param table: the routes in force.
    :param route: the one that the request matches.
    :param call: the call as the caller described it.
    :raises UnknownKeyError: if the caller needs another key.
    """
    tenant = table.identify(route, call.keys)
    if tenant is None:
        return call, None
    return attrs.evolve(call, tenant=tenant.name, keys=()), tenant
