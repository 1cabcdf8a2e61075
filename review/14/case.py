"""A program's older charges are forgotten when its stores are killed (BUDGET).

With TROUBLE=0, the stores are not killed.
"""

import concurrent.futures
import signal
import threading
import time

import fleet
import standins

EVENTS = 10
MOST = EVENTS * standins.STRIDE
"""Tokens of the longest turn."""
BUDGET = 5 * MOST
EARLY_TURNS = 4
PAUSE_S = 8
FILLING_TURNS = 340
FILLING_BYTES = 26_000
"""Longest request of the small sites."""
KILL_AFTER_S = 88
"""After the last of the other programs: RetainS, and what the stores add."""


def case(record_path, trouble):
    """Return whether the rule was broken."""
    with fleet.Fleet(record_path) as fleet_:
        for number in range(4):
            standins.Worker(
                fleet_.platform, f'i-{number}', fleet.AGENTS, fleet_.record,
                zone=fleet.ZONES[number % 3], event_s=0.001, work_s=0.005,
            )
        fleet_.start()
        program = Program(fleet_, 'p-long')
        for _ in range(EARLY_TURNS):
            program.turn(MOST)
        send_others(fleet_)
        filled = time.monotonic()
        while time.monotonic() - filled < KILL_AFTER_S - PAUSE_S:
            time.sleep(PAUSE_S)
            program.turn(standins.STRIDE)
        time.sleep(max(0, KILL_AFTER_S - (time.monotonic() - filled)))
        if trouble:
            kill_stores(fleet_)
        fleet_.wait_ready()
        for _ in range(8):
            if program.turn(MOST).status == 402:
                break
        fleet_.record(
            f'the client got {program.tokens} tokens; the budget is {BUDGET},'
            f' one turn is at most {MOST}'
        )
        return program.tokens > BUDGET + MOST


class Program:
    """A program that counts the tokens that its client gets."""

    def __init__(self, fleet_, name):
        self.fleet = fleet_
        self.name = name
        self.tokens = 0
        self.turns = 0

    def turn(self, most):
        """Send a turn that may generate so many tokens."""
        front = self.fleet.fronts[self.turns % 3]
        self.turns += 1
        answer = self.fleet.call(front, 'POST', '/quote/2f', {
            'X-Program-Id': self.name, 'X-Session-Id': f'{self.name}-s',
            'X-Finish-Ms': '120000', 'X-Token-Budget': str(BUDGET),
            'X-Token-Count': f'600,{most}', 'X-Model': 'm',
        }, b'quote')
        self.tokens += len(answer.events) * standins.STRIDE
        self.fleet.log_answer(
            f'{self.name}, at most {most}, {self.tokens} in all', answer
        )
        return answer


def send_others(fleet_):
    """Let other programs run turns, as on any day."""
    done = threading.Semaphore(0)

    def send(number):
        answer = fleet_.call(
            fleet_.fronts[number % 3], 'POST', f'/measure/{number % 8}', {
                'X-Program-Id': f'q-{number}', 'X-Session-Id': f'q-{number}-s',
                'X-Finish-Ms': '20000', 'X-Token-Budget': '5000',
                'X-Token-Count': f'600,{MOST}', 'X-Model': 'm',
            }, b'm' * FILLING_BYTES)
        if answer.status == 200:
            done.release()
        return answer.status

    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        statuses = list(pool.map(send, range(FILLING_TURNS)))
    fleet_.record(
        f'{statuses.count(200)} of {FILLING_TURNS} turns of other programs'
        ' were answered'
    )


def kill_stores(fleet_):
    """Kill all store processes at the same moment; their disks stay."""
    for host in fleet_.stores:
        host.send(signal.SIGKILL)
    for host in fleet_.stores:
        host.wait_end()
    for host in fleet_.stores:
        host.start(wait=False)
    for host in fleet_.stores:
        host.wait_listening()


if __name__ == '__main__':
    fleet.main(case)
