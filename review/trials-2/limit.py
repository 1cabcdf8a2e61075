"""A limited worker loses its entry for some seconds; its limit is forgotten.

No case of the review, see REPORT-2.md. Run from the project's root after the
deploy file's build: python3 review/trials-2/limit.py
Exits with 1 if LIMIT was broken, 0 if it held, 2 if it couldn't run.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'common-2'))

import stand_ins

LIMIT = 1.0
CALLERS = 24
CONTACT_S = 3.0
TOLD_S = 0.5
WINDOW_S = 4.0
HEARTBEAT_S = 1.2
SILENT_BEATS = 3
CUT_S = 8.0
WORK_S = 0.3


class Worker(stand_ins.Worker):
    """Names a limit in all its answers, if it is in need."""

    limit = None

    def _respond(self, writer, status, headers, body=b''):
        if self.limit is not None:
            headers = {**headers, 'Server-Limit': str(self.limit)}
        super()._respond(writer, status, headers, body)


stand_ins.Worker = Worker


async def warm_up(fleet):
    """A worker that started lately tells with each heartbeat how far it is."""
    young = fleet.workers['w-agents-1']
    for beat in range(60):
        entry = fleet.platform.objects[('servers', young.name)]['Spec']
        left_ms = 80_000 - int(beat * HEARTBEAT_S * 1000)
        fleet.platform.put(
            'servers', young.name, {**entry, 'ColdLeftMs': left_ms}
        )
        await asyncio.sleep(HEARTBEAT_S)


async def call(fleet, front, until, told):
    """Send one request after the other to a front."""
    while fleet.record.now() < until:
        answer = await fleet.request(
            front.front_port, 'GET', '/look/1', {}, timeout=4
        )
        if 'server-limit' in answer.headers:
            told.setdefault(front.name, fleet.record.now())
        pause_s = 0.05
        if answer.status in (429, 503):
            wait_s = float(answer.headers.get('retry-after', 0))
            pause_s = max(pause_s, min(1.0, wait_s))
        await asyncio.sleep(pause_s)


def count_most(times):
    """Return the most arrivals in a window, and when it began."""
    return max(
        (
            (sum(first <= at < first + WINDOW_S for at in times), first)
            for first in times
        ),
        default=(0, 0),
    )


async def case(fleet):
    await asyncio.sleep(CONTACT_S + 0.2)
    for worker in fleet.workers.values():
        worker.work_s = WORK_S
    weak = fleet.workers['w-orders-0']
    told = {}
    until = fleet.record.now() + 34
    tasks = [asyncio.create_task(warm_up(fleet))]
    callers = [
        asyncio.create_task(
            call(fleet, fleet.fronts[n % len(fleet.fronts)], until, told)
        )
        for n in range(CALLERS)
    ]
    await asyncio.sleep(3)
    weak.limit = LIMIT
    named = fleet.record.now()
    fleet.record.note(f'{weak.name} names its limit, {LIMIT} a second')
    await asyncio.sleep(10)
    if stand_ins.TROUBLE:
        fleet.record.note(f'{weak.name} is cut off from the store')
        await asyncio.sleep(SILENT_BEATS * HEARTBEAT_S)
        fleet.platform.remove('servers', weak.name)
        fleet.record.note('its entry is removed')
        await asyncio.sleep(CUT_S - SILENT_BEATS * HEARTBEAT_S)
        weak.register()
        fleet.record.note('the cut has ended, its entry is back')
    await asyncio.gather(*callers)
    tasks[0].cancel()
    if len(told) < len(fleet.fronts):
        raise stand_ins.CannotRun('not all fronts heard the limit')
    # All fronts had passed on an answer with the limit half a second before.
    since = max(named + CONTACT_S, max(told.values()) + TOLD_S)
    most, at = count_most([run['at'] for run in weak.runs if run['at'] > since])
    allowed = 1.5 * LIMIT * WINDOW_S + 5
    text = (
        f'{weak.name} got {most} requests in {WINDOW_S} s from {at:.1f} s on,'
        f' {allowed:.1f} allowed'
    )
    fleet.record.note(text)
    print(text)
    return [f'LIMIT: {text}'] if most > allowed else []


stand_ins.run(case, workers=2, fronts=3)
