"""A conversation of large legal turns ends processes by their memory."""

import asyncio
import os
import random
import signal

import stand_ins

OUTPUT = stand_ins.Worker.EVENTS * stand_ins.STRIDE
LARGE = 4_100_000
"""Below `MaxBodyBytes` (4,194,304)."""
SMALL = 25_000
TOKENS = 6000
"""Of one turn's input; a worker has room for 97,943."""
TURNS = 4
SUB_AGENTS = 10
"""The most that the site's programs start."""
ROUNDS = 9
CATCH_UP_S = 3 + 4.4
"""`CatchUpS`, counted from when the stores count as stable again."""
ENDS = 3
MACHINES = 2


class Memory:
    """The platform's memory limit: kills a process that exceeds it."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.enforce = not os.environ.get('ONLY_MEASURE')

    async def run(self):
        while True:
            for machine in self.fleet.machines.values():
                await self._check(machine)
            await asyncio.sleep(0.01)

    async def _check(self, machine):
        if machine.process.poll() is not None:
            self.fleet.record.note(
                f'{machine.name} ended with {machine.process.returncode}'
            )
            machine.ended += 1
            machine.start(bootstrap=False)
            return
        used_mb = machine.rss_mb()
        machine.peak_mb = max(machine.peak_mb, used_mb)
        if used_mb > machine.memory_mb and self.enforce:
            self.fleet.record.note(
                f'{machine.name} uses {used_mb:.0f} MB, more than MemoryMb ='
                f' {machine.memory_mb}: the platform kills it'
            )
            machine.process.send_signal(signal.SIGKILL)
            machine.process.wait()
            machine.ended += 1
            await asyncio.sleep(0.3)
            machine.start(bootstrap=False)


async def turn(fleet, program, session, previous, body, front, step=1):
    headers = {
        'X-Program-Id': program, 'X-Session-Id': session,
        'X-Finish-Ms': '30000', 'X-Token-Budget': '100000',
        'X-Token-Count': f'{step * TOKENS},{OUTPUT}',
        'Accept': 'text/event-stream',
    }
    if previous:
        headers['X-Previous-Turn'] = previous
    answer = await fleet.request(
        front.front_port, 'POST', '/chat/stream', headers, body, timeout=3
    )
    return answer.attempt if answer.status == 200 and answer.whole else ''


async def converse(fleet, number, size):
    """Send a line of turns, then sub-agents that continue the last one."""
    program = f'program-{number}'
    previous = ''
    for step in range(TURNS):
        body = bytes([65 + step]) * size
        for attempt in range(3):
            front = fleet.fronts[(number + attempt) % len(fleet.fronts)]
            done = await turn(
                fleet, program, 'line', previous, body, front, step + 1
            )
            if done:
                break
            await asyncio.sleep(0.4)
        if not done:
            fleet.record.note(f'{program} fails at turn {step}')
            return
        previous = done
    # Each opens a connection to an address that it picks at random.
    await asyncio.gather(*(
        turn(
            fleet, program, f'agent-{agent}', previous, b'input;',
            random.choice(fleet.fronts), TURNS,
        )
        for agent in range(SUB_AGENTS)
    ))


async def settle(fleet):
    """Wait until all processes are back, and for `CatchUpS` after that."""
    if not any(m.ended for m in fleet.machines.values()):
        return
    for _ in range(8):
        try:
            await fleet.wait_ready(8)
            break
        except stand_ins.CannotRun:
            await asyncio.sleep(0.5)
    await asyncio.sleep(CATCH_UP_S)


def ended_often(fleet):
    return [m.name for m in fleet.machines.values() if m.ended >= ENDS]


async def case(fleet):
    for worker in fleet.workers.values():
        worker.keep_bodies = False
    memory = asyncio.create_task(Memory(fleet).run())
    random.seed(1)
    await asyncio.sleep(3.2)
    size = LARGE if stand_ins.TROUBLE else SMALL
    for number in range(ROUNDS):
        await converse(fleet, number, size)
        ended = {m.name: m.ended for m in fleet.machines.values() if m.ended}
        peaks = {m.name: round(m.peak_mb) for m in fleet.machines.values()}
        fleet.record.note(
            f'round {number}: ended by memory {ended}, peaks in MB {peaks}'
        )
        if fleet.record.now() > 95 or len(ended_often(fleet)) >= MACHINES:
            break
        await settle(fleet)
    memory.cancel()
    often = ended_often(fleet)
    if len(often) < MACHINES:
        return []
    return [
        f'Fault: the processes of {often} were ended {ENDS} times or more by'
        ' their memory, with no disruption there'
    ]


stand_ins.run(case)
