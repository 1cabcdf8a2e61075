"""A store machine loses its disk twice in a row; later another one loses its
disk. Turns can't go on from what was said before any more."""

import asyncio
import collections
import pathlib
import random
import shutil
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))
import harness  # noqa: E402

CATCH_UP_S = harness.BOUNDS['CatchUpS']
CONTACT_S = harness.BOUNDS['ContactMs'] / 1000
RECOVERY_S = harness.BOUNDS['RecoveryS']
JUDGED_S = 6


class Clients:
    """Programs of four turns with a call of a tool after each."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record
        self.whole, self.sent, self.calls = [], [], []

    async def run(self):
        while True:
            program, previous = harness.new_id(), ''
            if self.whole and random.random() < 0.3:
                # A program goes on from what was said before.
                program, previous = random.choice(self.whole)
            for _ in range(4):
                answer = await self.turn(program, previous)
                if not (answer.status == 200 and answer.whole):
                    break
                previous = answer.attempt
                self.calls.append(await harness.send(
                    self.address(), '/look/1', deadline_ms=1500))
            await asyncio.sleep(random.uniform(0.1, 0.3))

    def address(self):
        return random.choice(self.fleet.addresses)

    async def turn(self, program, previous):
        headers = [('X-Program-Id', program), ('X-Session-Id', program),
                   ('X-Finish-Ms', '9000'), ('X-Token-Budget', '90000'),
                   ('X-Token-Count', '400,70')]
        if previous:
            headers.append(('X-Previous-Turn', previous))
        answer = await harness.send(self.address(), '/measure/1', 'POST',
                                    headers=headers, body=b'input;')
        self.record(f'client measure {answer.attempt} after {previous or "-"} '
                    f'-> {answer.status or answer.error} whole={answer.whole}')
        if answer.status == 200 and answer.whole:
            self.whole.append((program, answer.attempt))
        self.sent.append((answer, previous))
        return answer


async def lose_disk(fleet, record, name):
    """The machine ends, and is back a second later with an empty disk."""
    process = fleet.stores[name]
    process.send(signal.SIGKILL)
    process.handle.wait()
    shutil.rmtree(fleet.folder / f'{name}.disk', ignore_errors=True)
    record(f'{name} has lost its disk', echo=True)
    await asyncio.sleep(1)
    text = process.path.read_text().replace('Bootstrap = true',
                                            'Bootstrap = false')
    process.path.write_text(text)
    process.start()
    record(f'{name} is back', echo=True)


def group(fleet):
    return fleet.store.objects['carobfork-storage', 'main']['Spec']


def describe(fleet):
    known = group(fleet)
    return (f'epoch {known["epoch"]}, members '
            f'{[m["node"] + "/" + m["disk"][:4] for m in known["members"]]}, '
            f'following '
            f'{[m["node"] + "/" + m["disk"][:4] for m in known["following"]]}, '
            f'driver {known["driver"][:4]}')


async def case(record):
    async with harness.Fleet(record) as fleet:
        await fleet.add_workers(harness.AGENTS, 8)
        await fleet.add_workers(harness.ORDERS, 2)
        await fleet.settle()
        record(f'settled: {describe(fleet)}', echo=True)
        clients = Clients(fleet, record)
        tasks = [asyncio.create_task(clients.run()) for _ in range(6)]
        await asyncio.sleep(4)
        first, second, _ = sorted(fleet.stores)
        await lose_disk(fleet, record, first)
        if harness.trouble():
            async with asyncio.timeout(20):
                while not group(fleet)['following']:
                    await asyncio.sleep(0.005)
            record(f'it joins again: {describe(fleet)}', echo=True)
            await lose_disk(fleet, record, first)
        await asyncio.sleep(CATCH_UP_S + CONTACT_S + 5)
        record(f'caught up: {describe(fleet)}', echo=True)
        before = list(clients.whole)
        fault = time.monotonic()
        await lose_disk(fleet, record, second)
        await asyncio.sleep(RECOVERY_S + CONTACT_S)
        record(f'RecoveryS is over: {describe(fleet)}', echo=True)
        since = time.monotonic()
        await asyncio.sleep(JUDGED_S)
        for task in tasks:
            task.cancel()
        ran = {run.attempt for run in fleet.runs()}
        known = {attempt for _, attempt in before}
        going_on = [answer for answer, previous in clients.sent
                    if answer.sent_s > since and previous in known]
        reached = [answer for answer in going_on if answer.attempt in ran]
        statuses = collections.Counter(answer.status for answer in going_on)

        def served_share(answers):
            served = sum(answer.status == 200 and answer.whole
                         for answer in answers)
            return served / max(1, len(answers)), len(answers)

        everything = [answer for answer, _ in clients.sent] + clients.calls
        share, count = served_share([answer for answer in everything
                                     if answer.sent_s > since])
        share_before, _ = served_share([answer for answer in everything
                                        if answer.ended_s < fault])
        record(f'after RecoveryS: {share:.2f} of {count} requests served '
               f'({share_before:.2f} before the final fault); {len(going_on)} '
               f'turns went on from turns answered whole before, {len(reached)} '
               f'reached a worker, answers {dict(statuses)}', echo=True)
        return share < 0.25 <= share_before


if __name__ == '__main__':
    sys.exit(harness.main(case, FOLDER))
