"""Runs: one soak by its seed, from the start of the fleet to the verdict."""

import pathlib
import random
import shutil
import tempfile

import attrs
import gevent

from tests.soak import callers, faults, fleets, records, tenants

KEPT_LOGS = pathlib.Path('run', 'soak')
CALLERS = (
    *((callers.Caller, tenants.KEPT) for _ in range(3)),
    *((callers.Caller, tenants.REVOCABLE) for _ in range(3)),
    *((callers.StreamingCaller, tenants.KEPT) for _ in range(3)),
    *((callers.RepeatingCaller, tenants.LIMITED) for _ in range(2)),
    (callers.RepeatingCaller, tenants.STRANGER),
    (callers.SlowReader, tenants.KEPT),
    (callers.SlowReader, tenants.REVOCABLE),
)
LONGEST_SECONDS = 2.5
"""Of one fault; several overlap."""
GAP_SECONDS = 1.2
"""The longest between the starts of two faults."""
RECOVERY_SECONDS = 60
"""After the last fault, until all is served again; generous, since a run gives
no verdict on time."""
SOUND_PERIOD = 4
"""Each seed that it divides leaves everything sound: there it is certain that
nothing but a host ended a request."""
SOUND_SLOTS = 2
"""Of each server then, so that there is rarely a place at another one."""
SOUND_DELAY_MS = 80
"""Of answers and events then, so that streams are under way."""


@attrs.frozen
class Planned:
    """One fault of a schedule."""

    at_seconds: float
    kind: str
    span_seconds: float


def is_sound(seed: int) -> bool:
    """Tell whether a seed leaves everything sound."""
    return seed % SOUND_PERIOD == 0


def plan(seed: int, seconds: float) -> list[Planned]:
    """Return a seed's schedule: the same for the same seed."""
    dice = random.Random(seed)
    kinds = sorted(faults.SOUND if is_sound(seed) else faults.FAULTS)
    schedule = []
    at_seconds = dice.uniform(0, GAP_SECONDS)
    while at_seconds < seconds:
        span = dice.uniform(0.1, LONGEST_SECONDS)
        schedule.append(Planned(at_seconds, dice.choice(kinds), span))
        at_seconds += dice.uniform(0, GAP_SECONDS)
    return schedule


def run(seed: int, seconds: float) -> records.Records:
    """Run a seed's schedule and return what was seen.

    The hosts' logs are kept if a promise was broken.
    """
    found = records.Records()
    slots = SOUND_SLOTS if is_sound(seed) else fleets.SLOTS
    with tempfile.TemporaryDirectory() as name:
        with fleets.Fleet(pathlib.Path(name), slots=slots) as fleet:
            _wait(fleet.is_settled, 'the storage group')
            if is_sound(seed):
                fleet.delay(SOUND_DELAY_MS)
            _disturb(fleet, found, seed, seconds)
            found.check_runs(fleet.served())
            found.check_leaving(
                fleet.served(),
                lambda name, begin, end: fleet.fronts[name].had_fault(
                    begin, end
                ),
            )
            found.check_kept(fleet.is_sound, fleet.time_limit_ms)
            found.check_tenants(fleet.served())
            found.check_quota(fleet.served())
        if found.broken:
            keep_logs(pathlib.Path(name), KEPT_LOGS / f'seed-{seed}')
    return found


def keep_logs(folder: pathlib.Path, kept: pathlib.Path) -> None:
    """Copy the logs and settings of a fleet to a folder that stays."""
    kept.mkdir(parents=True, exist_ok=True)
    for path in (*folder.glob('*.log'), *folder.glob('*.toml')):
        shutil.copy(path, kept)


def _disturb(
    fleet: fleets.Fleet, found: records.Records, seed: int, seconds: float
) -> None:
    dice = random.Random(seed)
    running = [
        gevent.spawn(
            kind(fleet, found, random.Random(dice.random()), tenant=tenant).run
        )
        for kind, tenant in CALLERS
    ]
    started = [
        gevent.spawn_later(
            fault.at_seconds,
            faults.inject,
            fault.kind,
            fleet,
            random.Random(dice.random()),
            fault.span_seconds,
        )
        for fault in plan(seed, seconds)
    ]
    gevent.joinall(started, raise_error=True)
    gevent.killall(running)
    _check_recovery(fleet, found)


def _check_recovery(fleet: fleets.Fleet, found: records.Records) -> None:
    """Check that a program runs through each entry host again."""
    for name in sorted(fleet.fronts):
        until = RECOVERY_SECONDS
        while until > 0 and not _serves(fleet, name):
            gevent.sleep(0.5)
            until -= 0.5
        if until <= 0:
            found.fail('recovery', f'{name} does not serve')


def _serves(fleet: fleets.Fleet, name: str) -> bool:
    seen = records.Records()
    caller = callers.Caller(fleet, seen, random.Random(1), only=name)
    caller.run_program()
    return not seen.broken and all(
        request.status in {200, 402} for request in seen.seen
    )


def _wait(condition, what: str) -> None:
    with gevent.Timeout(RECOVERY_SECONDS, AssertionError(f'no {what}')):
        while not condition():
            gevent.sleep(0.1)
