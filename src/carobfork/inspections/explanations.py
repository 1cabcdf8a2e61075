"""Explanations: a program's state and what was decided about it, in words."""

from collections.abc import Iterator

import attrs

from carobfork.inspections import hosts, state_dumps
from carobfork.state import identifiers, programs


def show(host: hosts.InspectedHost, identifier: str) -> dict:
    """Return a program's state as JSON-ready fields.

    :raises UnknownProgramError: it is not homed here.
    """
    program = host.table.find(identifier)
    return {
        'program': program.identifier,
        'kind': program.kind,
        'rank': program.rank,
        'parent': program.parent,
        'closed_reason': program.closed_reason,
        'budget': attrs.asdict(program.ledger, recurse=True),
        'calls': state_dumps.bounded(
            {'key': call.key, 'phase': call.phase, 'target': call.target}
            for call in reversed(program.calls.values())
        ),
        'under_way': _under_way(host, identifier),
    }


def explain(host: hosts.InspectedHost, identifier: str) -> list[str]:
    """Say where a program stands and what was decided about it.

    :raises UnknownProgramError: it is not homed here.
    """
    program = host.table.find(identifier)
    return [
        *_standing(host, program),
        *host.notes.decisions.sentences(identifier),
    ]


def _standing(
    host: hosts.InspectedHost, program: programs.Program
) -> Iterator[str]:
    yield (
        f'The program is of kind {program.kind} and rank {program.rank}, '
        f'homed at {host.members.own.incarnation}.'
    )
    opened_at = identifiers.home_of(program.identifier)
    if opened_at != host.members.own.incarnation:
        yield f'It was opened at {opened_at}, which this host took over.'
    if program.closed_reason:
        yield f'It takes no further calls: {program.closed_reason}.'
    ledger = program.ledger
    yield (
        f'It has spent {ledger.spent_tokens} of {ledger.limit.tokens} tokens '
        f'and {ledger.spent_calls} of {ledger.limit.calls} calls; '
        f'{ledger.reserved_tokens} tokens are reserved.'
    )
    for key in _under_way(host, program.identifier):
        yield f'Model call {key} is under way.'
    for call in program.calls.values():
        if call.phase is programs.CallPhase.intended:
            yield (
                f'Service call {call.key} may have run at {call.target}; '
                'its outcome is not known yet.'
            )


def _under_way(host: hosts.InspectedHost, identifier: str) -> list[str]:
    return [key for program, key in host.models.runs if program == identifier]
