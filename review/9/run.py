"""Connections to the platform go silent; then the configuration changes."""

import asyncio

import stand_ins

CONTACT_S = 3.0
CONFIG_S = 2.0
MOVE = stand_ins.route('move', '/move/', 'safe', 'orders', Attempts=2)


async def ask(fleet, seen):
    for front in fleet.fronts:
        sent = fleet.record.now()
        answer = await fleet.request(front.front_port, 'GET', '/move/1', {})
        seen.append((sent, front.name, answer))


async def case(fleet):
    seen = []
    await asyncio.sleep(1)
    # An ordinary change, which all hosts see.
    fleet.write_config([*stand_ins.ROUTES, {**MOVE, 'TimeoutMs': 2500}])
    await asyncio.sleep(2)
    if stand_ins.TROUBLE:
        count = sum(proxy.silence_open() for proxy in fleet.proxies.values())
        fleet.record.note(
            f'{count} open connections to the platform are silent for good;'
            ' new ones work'
        )
    await asyncio.sleep(CONTACT_S + 1)
    moved = fleet.write_config([*stand_ins.ROUTES, {**MOVE, 'Service': 'new'}])
    while fleet.record.now() < moved + 24:
        await ask(fleet, seen)
        await asyncio.sleep(0.25)
    runs = {
        run['attempt']: worker.service
        for worker in fleet.workers.values() for run in worker.runs
    }
    late = [
        (sent - moved, name) for sent, name, answer in seen
        if sent > moved + CONFIG_S and runs.get(answer.attempt) == 'orders'
    ]
    fleet.record.note(
        f'{len(seen)} requests; {len(late)} of them were sent later than'
        f' {CONFIG_S} s after the acknowledgement and run by the old service'
    )
    if not late:
        return []
    return [
        f'CONFIG: {len(late)} requests sent {late[0][0]:.1f} to'
        f' {late[-1][0]:.1f} s after the acknowledgement ran at the old service'
    ]


stand_ins.run(
    case, services=('agents', 'orders', 'new'),
    routes=[*stand_ins.ROUTES, MOVE],
)
