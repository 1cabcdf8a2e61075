"""Check the consistency of the parts of a bundle.

Checks are registered by a decorator. They run before a bundle is signed and
again on every host; all problems are reported together.
"""

import collections
from collections.abc import Callable, Iterable, Iterator, Mapping

import attrs

from carobfork import exceptions
from carobfork.coordination import (
    admissions,
    placements,
    queue_orders,
    slot_limiters,
)
from carobfork.state import bundles

MAX_TOTAL_SHARE = 1.0
_ROUNDING = 1e-9

POLICY_REGISTRIES: dict[str, Mapping[str, object]] = {  # noqa: WPS407
    'order': queue_orders.ORDERS,
    'placement': placements.PLACEMENTS,
    'limit': slot_limiters.LIMITERS,
    'admission': admissions.ADMISSIONS,
}


@attrs.frozen
class Problem:
    """A violated rule and its path in a bundle."""

    path: str
    message: str

    def __str__(self) -> str:
        """Return the path and the message."""
        return f'{self.path}: {self.message}'


Check = Callable[[bundles.Bundle], Iterator[Problem]]
CHECKS: list[Check] = []  # noqa: WPS407


def register(check: Check) -> Check:
    """Register a check."""
    CHECKS.append(check)
    return check


def verify(bundle: bundles.Bundle, source: str) -> None:
    """Check a bundle.

    :param source: name of the bundle in error messages.
    :raises SettingsError: if the bundle has problems; the error names all.
    """
    problems = [problem for check in CHECKS for problem in check(bundle)]
    if problems:
        raise exceptions.SettingsError(
            '; '.join(f'{source}.{problem}' for problem in problems),
            step='check',
            peer=source,
        )


@register
def check_names(bundle: bundles.Bundle) -> Iterator[Problem]:
    """Check that names used for lookups are unique."""
    for field in ('ranks', 'programs', 'models', 'services'):
        names = [member.name for member in getattr(bundle, field)]
        yield from _find_duplicates(field, 'name', names)
    # Model engines and service servers share one name space, because the
    # list of leaving backend servers names both.
    backend_names = list(_backend_names(bundle))
    yield from _find_duplicates('models and services', 'name', backend_names)


@register
def check_operations(bundle: bundles.Bundle) -> Iterator[Problem]:
    """Check that operations of a service differ in method or path."""
    for index, service in enumerate(bundle.services):
        targets = [
            f'{operation.method} {operation.path}'
            for operation in service.operations
        ]
        path = f'services[{index}].operations'
        yield from _find_duplicates(path, 'target', targets)


@register
def check_ranks(bundle: bundles.Bundle) -> Iterator[Problem]:
    """Check that program kinds name ranks of the bundle."""
    known = [rank.name for rank in bundle.ranks]
    for index, kind in enumerate(bundle.programs):
        if kind.rank not in known:
            yield Problem(
                f'programs[{index}].rank',
                f'"{kind.rank}" is not a rank, allowed: {", ".join(known)}',
            )


@register
def check_shares(bundle: bundles.Bundle) -> Iterator[Problem]:
    """Check that the shares sum to at most 1.

    The range of a single share is checked by its field.
    """
    total = sum(rank.share for rank in bundle.ranks)
    if total > MAX_TOTAL_SHARE + _ROUNDING:
        yield Problem('ranks', f'the shares sum to {total:g}, more than 1')


@register
def check_backends(bundle: bundles.Bundle) -> Iterator[Problem]:
    """Check that models have workers and services have servers."""
    for index, model in enumerate(bundle.models):
        if not model.workers:
            yield Problem(f'models[{index}].workers', 'must not be empty')
    for number, service in enumerate(bundle.services):
        if not service.servers:
            yield Problem(f'services[{number}].servers', 'must not be empty')


@register
def check_policies(bundle: bundles.Bundle) -> Iterator[Problem]:
    """Check that the policies are registered."""
    for field, registry in POLICY_REGISTRIES.items():
        name = getattr(bundle.policy, field)
        if name not in registry:
            allowed = ', '.join(sorted(registry))
            yield Problem(
                f'policy.{field}', f'"{name}" is unknown, allowed: {allowed}'
            )


def _backend_names(bundle: bundles.Bundle) -> Iterator[str]:
    for model in bundle.models:
        yield from (worker.name for worker in model.workers)
    for service in bundle.services:
        yield from (server.name for server in service.servers)


def _find_duplicates(
    path: str, noun: str, members: Iterable[str]
) -> Iterator[Problem]:
    for member, count in collections.Counter(members).items():
        if count > 1:
            yield Problem(path, f'{noun} "{member}" occurs {count} times')
