"""A conversation can't go on once its history is longer than a frame."""

import asyncio

import stand_ins

OUTPUT = stand_ins.Worker.EVENTS * stand_ins.STRIDE
LARGE = 3_400_000
"""Below `MaxBodyBytes` (4,194,304)."""
SMALL = 25_000
TURNS = 5
TRIES = 6
"""Three sends of a turn with one retry each, as PROTOCOL.md says."""
OTHERS_GAP_S = 0.05
AIM_S = 60


async def turn(fleet, program, previous, body, front, step=1):
    left_ms = max(1, AIM_S - fleet.record.now()) * 1000
    headers = {
        'X-Program-Id': program, 'X-Session-Id': f'{program}-s',
        'X-Finish-Ms': f'{left_ms:.0f}', 'X-Token-Budget': '100000',
        'X-Token-Count': f'{step * 6000},{OUTPUT}', 'Accept': 'text/event-stream',
    }
    if previous:
        headers['X-Previous-Turn'] = previous
    return await fleet.request(
        front.front_port, 'POST', '/chat/stream', headers, body, timeout=3
    )


async def others(fleet, seen):
    """Send first turns of other programs, to one front after the other."""
    number = 0
    while True:
        front = fleet.fronts[number % len(fleet.fronts)]
        answer = await turn(fleet, f'other-{number}', '', b'input;', front)
        seen.append(answer.attempt)
        number += 1
        await asyncio.sleep(OTHERS_GAP_S)


def reached(fleet, attempt):
    return any(
        run['attempt'] == attempt
        for worker in fleet.workers.values() for run in worker.runs
    )


async def measure(fleet):
    while True:
        for machine in fleet.machines.values():
            machine.peak_mb = max(machine.peak_mb, machine.rss_mb())
        await asyncio.sleep(0.01)


async def case(fleet):
    measuring = asyncio.create_task(measure(fleet))
    for worker in fleet.workers.values():
        worker.keep_bodies = False
    await asyncio.sleep(3.2)  # ContactMs: all machines are in touch.
    size = LARGE if stand_ins.TROUBLE else SMALL
    previous = ''
    for step in range(TURNS):
        answer = await turn(
            fleet, 'long', previous, bytes([65 + step]) * size,
            fleet.fronts[step % len(fleet.fronts)], step + 1,
        )
        if answer.status != 200 or not answer.whole:
            raise stand_ins.CannotRun(f'turn {step + 1} was not answered')
        previous = answer.attempt
        fleet.record.note(f'turn {step + 1} was answered whole: {previous}')
    seen = []
    background = asyncio.create_task(others(fleet, seen))
    await asyncio.sleep(1)
    tries = []
    for number in range(TRIES):
        answer = await turn(
            fleet, 'long', previous, b'input;',
            fleet.fronts[number % len(fleet.fronts)], TURNS + 1,
        )
        tries.append(answer)
        if answer.status == 200:
            break
        # `Retry-After`, or the pause before a turn is sent again.
        await asyncio.sleep(float(answer.headers.get('retry-after', 0.4)))
    await asyncio.sleep(1)
    background.cancel()
    firsts = sum(reached(fleet, attempt) for attempt in seen)
    measuring.cancel()
    peaks = {m.name: round(m.peak_mb) for m in fleet.machines.values()}
    fleet.record.note(
        f'{firsts} of {len(seen)} first turns of others reached a worker;'
        f' the turn after {previous} was tried {len(tries)} times, answered'
        f' {[answer.status for answer in tries]}; most memory in MB'
        f' {peaks}'
    )
    lost = [a for a in tries if not reached(fleet, a.attempt)]
    if len(lost) < 5:
        return []
    if firsts < 0.9 * len(seen):
        fleet.record.note('less than nine tenths of first turns reach one')
        return []
    return [
        f'LOST: the turn that continues {previous}, which was answered whole,'
        f' reached no worker in {len(lost)} tries'
        f' ({firsts} of {len(seen)} first turns reached one)'
    ]


stand_ins.run(case, fronts=6)
