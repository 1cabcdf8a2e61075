"""Explain where a call would go now, and why, without sending it."""

from typing import Any

import attrs

from carobfork import clock, exceptions
from carobfork.gateway import (
    calls,
    queued_calls,
    queues,
    relays,
    routes,
    workers,
)
from carobfork.tenancy import tenants


@attrs.frozen
class PreviewRequest:
    """The call to explain.

    :param host: the ``Host`` header that it would have.
    :param path: its path.
    :param program: the program that it would belong to, if any.
    :param tenant: name of the tenant that it would come from, if any.
    """

    host: str
    path: str
    program: str = ''
    tenant: str = ''


class CallPreviewer:
    """Explain what this host would do with a call at this moment.

    Nothing is sent, reserved or taken from a quota. A choice among equal
    workers is drawn at random, so the next call may get another one.

    :param relay: has the routes, queues and workers.
    :param timer: the clock for loads and ages.
    """

    def __init__(self, relay: relays.Relay, timer: clock.Clock) -> None:
        """Create an explainer."""
        self._relay = relay
        self._timer = timer

    def explain(self, request: PreviewRequest) -> dict[str, Any]:
        """Return the route, each service's candidates and the decision.

        :raises NotRunError: if there is no configuration yet.
        :raises NotFoundError: if no route matches.
        :raises UnknownKeyError: if there is no such tenant.
        """
        table = self._relay.routes
        if table is None:
            raise exceptions.NotRunError('no configuration yet', step='explain')
        route = table.match(request.host, request.path)
        if route is None:
            raise relays.NotFoundError(
                f'no route matches in configuration {table.version}',
                step='explain',
            )
        tenant = _find_tenant(table, route, request.tenant)
        return {
            'configuration_version': table.version,
            'route': route.name,
            'kind': route.kind.value,
            'rank': tenants.combine_ranks(tenant, route.rank),
            'tenant': tenant and attrs.asdict(tenant),
            'services': [
                {
                    'weight': backend.weight,
                    **self._explain_service(
                        backend.service, route, request, tenant
                    ),
                }
                for backend in route.backends
            ],
        }

    def _explain_service(
        self,
        service: str,
        route: routes.Route,
        request: PreviewRequest,
        tenant: tenants.Tenant | None,
    ) -> dict[str, Any]:
        queue = self._relay.admission.queue(service)
        is_stream = route.kind == routes.Kind.stream
        queued = queued_calls.QueuedCall(
            calls.Call(
                '', program=request.program, prompt_tokens=int(is_stream)
            ),
            route,
            route.timeout_ms,
            _ignore_grant,
            rank=tenants.combine_ranks(tenant, route.rank),
            tenant=tenant.name if tenant else '',
        )
        return {
            'service': service,
            'decision': _decide(queue, queued),
            'waiting': len(queue.waiting),
            'waiting_elsewhere': self._relay.table.remote_waiting(service),
            'candidates': [
                self._describe(worker)
                for worker in self._relay.table
                if worker.entry.service == service
            ],
        }

    def _describe(self, worker: workers.Worker) -> dict[str, Any]:
        now_ms = self._timer.now_ms()
        return {
            'worker': worker.instance,
            'failure_domain': worker.entry.failure_domain,
            'version': worker.entry.version,
            'calls': worker.load(now_ms),
            'calls_of_this_host': worker.in_flight,
            'slots': worker.entry.slots,
            'time_ratio': round(worker.time_ratio(now_ms), 2),
            'limit_per_s': worker.limit_per_s,
            'kept_from_it': _reasons(worker, now_ms),
        }


def _find_tenant(
    table: routes.RouteTable, route: routes.Route, name: str
) -> tenants.Tenant | None:
    if table.keys is None or route.is_public:
        return None
    tenant = table.keys.tenants.get(name)
    if tenant is None:
        raise tenants.UnknownKeyError(
            f'no tenant {name!r}; the route needs one', step='explain'
        )
    return tenant


def _decide(queue: queues.CallQueue, queued: queued_calls.QueuedCall) -> str:
    if not queue.selector.candidates(queued):
        return 'refused at once: no worker may get it'
    worker = queue.selector.peek(queued)
    if worker is not None and not queue.calls:
        return f'sent to {worker.instance}'
    wait_ms = queue.expected_wait_ms(queued)
    bound = f'{wait_ms:.0f} ms expected, {queued.max_wait_ms:.0f} ms allowed'
    if wait_ms <= queued.max_wait_ms:
        return f'waits for a slot: {bound}'
    return f'refused at once: {bound}'


def _reasons(worker: workers.Worker, now_ms: float) -> list[str]:
    """Return what keeps calls from a worker."""
    checks = {
        'draining': worker.entry.is_draining,
        'says that it leaves': worker.leaving_since_ms is not None,
        'not in the registry': worker.unlisted_since_ms is not None,
        'has just failed': worker.is_avoided(now_ms),
        'full': worker.load(now_ms) >= worker.entry.slots,
        'paced after a start or failure': worker.pace.is_bound(now_ms),
        'no permit under its limit': worker.limit_per_s is not None
        and not worker.permit_stock.has_valid(now_ms),
    }
    return [reason for reason, holds in checks.items() if holds]


def _ignore_grant(_worker: workers.Worker | None) -> None:
    """Ignore the outcome: the call is never submitted."""
