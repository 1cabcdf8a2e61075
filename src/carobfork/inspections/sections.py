"""Sections: what the state dump of an entry host tells."""

import collections

import attrs

from carobfork.inspections import hosts, state_dumps


@state_dumps.section('ownership')
def ownership(host: hosts.InspectedHost) -> dict:
    """Show who this host is and whose programs it owns."""
    return {
        'incarnation': str(host.members.own.incarnation),
        'failure_domain': host.members.own.failure_domain,
        'leaving': host.members.leaving,
        'taken_over': state_dumps.bounded(
            sorted(map(str, host.recording.takeovers.adopted))
        ),
    }


@state_dumps.section('program_phases')
def program_phases(host: hosts.InspectedHost) -> dict:
    """Show how many programs there are, by phase and by rank."""
    homed = host.table.programs.values()
    active = {program for program, _ in host.models.runs}
    phases = collections.Counter(_phase(program, active) for program in homed)
    ranks = collections.Counter(
        program.rank for program in homed if not program.closed_reason
    )
    return {'by_phase': dict(phases), 'open_by_rank': dict(ranks)}


@state_dumps.section('budgets')
def budgets(host: hosts.InspectedHost) -> dict:
    """Show what open programs have spent and reserved in all."""
    ledgers = [
        program.ledger
        for program in host.table.programs.values()
        if not program.closed_reason
    ]
    return {
        'spent_tokens': sum(ledger.spent_tokens for ledger in ledgers),
        'spent_calls': sum(ledger.spent_calls for ledger in ledgers),
        'reserved_tokens': sum(ledger.reserved_tokens for ledger in ledgers),
    }


@state_dumps.section('platform')
def platform(host: hosts.InspectedHost) -> dict:
    """Show whether the platform answers."""
    return {
        'silent_ms': round(host.store.silent_ms),
        'failures_in_row': host.store.failures_in_row,
        'calls': {
            f'{call.operation} {call.ending}': count
            for call, count in sorted(host.store.counts.items(), key=str)
        },
    }


@state_dumps.section('listener')
def listener(host: hosts.InspectedHost) -> dict:
    """Show what the callers' listener holds."""
    return attrs.asdict(host.caller_listener.traffic())


@state_dumps.section('requests')
def requests(host: hosts.InspectedHost) -> dict:
    """Show how callers' requests ended."""
    return {
        f'{ending.outcome} {ending.code}'.strip(): count
        for ending, count in sorted(host.notes.outcomes.counts.items(), key=str)
    }


@state_dumps.section('decisions')
def decisions(host: hosts.InspectedHost) -> dict:
    """Show how many programs the decision log holds."""
    return {'programs': len(host.notes.decisions)}


def _phase(program, active: set[str]) -> str:
    if program.closed_reason:
        return 'closed'
    return 'calling' if program.identifier in active else 'idle'
