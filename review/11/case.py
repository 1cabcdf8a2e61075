"""A turn's history is lost with one disk, after two short outages (LOST).

With TROUBLE=0, no store machine is lost.
"""

import signal
import time

import fleet
import standins

POWER_S = 2.8
"""As node_kill of store machines in the site file."""
WIPE_S = 2.0
"""As after_ack_wipe of store machines in the site file."""
SECOND_TURN_S = 53
"""After the first turn; it is kept for 60 s, its chain for longer."""
WIPE_AT_S = 86
TRIES = 6
"""Those of one turn: sent three times, with one retry each."""
OTHER_TURNS = 20
CATCH_UP_S = 4.4


def turn(fleet_, number, body, previous=''):
    """Send a turn of the program to an entry host."""
    fields = {
        'X-Program-Id': 'p-1', 'X-Session-Id': 'p-1-s',
        'X-Finish-Ms': standins.finish_ms('p-1', 180), 'X-Token-Budget': '5000',
        'X-Token-Count': '600,140', 'X-Model': 'm',
    }
    if previous:
        fields['X-Previous-Turn'] = previous
    return fleet_.call(
        fleet_.fronts[number % 3], 'POST', '/measure/2f', fields, body
    )


def other_turn(fleet_, number):
    """Send the first turn of another program."""
    return fleet_.call(
        fleet_.fronts[number % 3], 'POST', '/measure/3a', {
            'X-Program-Id': f'q-{number}', 'X-Session-Id': f'q-{number}-s',
            'X-Finish-Ms': '20000', 'X-Token-Budget': '5000',
            'X-Token-Count': '600,14', 'X-Model': 'm',
        }, b'other rail')


def outage(host, trouble):
    """Let a store machine lose power; its disk stays. Return what ends it."""
    if not trouble:
        return lambda: None
    host.send(signal.SIGKILL)
    host.wait_end()
    ends = time.monotonic() + POWER_S

    def end():
        time.sleep(max(0, ends - time.monotonic()))
        host.start()

    return end


def answered_turn(fleet_, what, body, previous=''):
    """Send a turn until it is answered whole, as a client does."""
    for number in range(3):
        answer = turn(fleet_, number, body, previous)
        fleet_.log_answer(what, answer)
        if answer.status == 200 and answer.is_whole:
            return answer
        time.sleep(0.2)
    raise fleet.CannotRunError(f'the {what} was not answered')


def case(record_path, trouble):
    """Return whether the rule was broken."""
    with fleet.Fleet(record_path) as fleet_:
        workers = [
            standins.Worker(
                fleet_.platform, f'i-{number}', fleet.AGENTS, fleet_.record,
                zone=fleet.ZONES[number % 3],
            )
            for number in range(4)
        ]
        fleet_.start()
        one, two, three = fleet_.stores
        # One store machine is lost while the first turn is stored.
        end = outage(three, trouble)
        time.sleep(1.2)
        first = answered_turn(fleet_, 'first turn', b'rail 1')
        began = time.monotonic()
        end()
        # Long after it is back, another one while the second turn is.
        time.sleep(SECOND_TURN_S - 1.2 - (time.monotonic() - began))
        end = outage(one, trouble)
        time.sleep(1.2)
        second = answered_turn(
            fleet_, 'second turn', b'rail 2', first.attempt
        )
        answered = time.monotonic()
        end()
        # Long after that one is back, the third one loses its disk.
        time.sleep(WIPE_AT_S - (time.monotonic() - began))
        if trouble:
            two.send(signal.SIGKILL)
            two.wait_end()
            two.wipe()
            time.sleep(WIPE_S)
            two.start()
        fleet_.wait_ready()
        # The core is stable, and the machine has caught up since then.
        time.sleep(fleet.CONTACT_S + CATCH_UP_S + 0.3)
        reached = sum(
            other_turn(fleet_, number).status == 200
            for number in range(OTHER_TURNS)
        )
        fleet_.record(f'{reached} of {OTHER_TURNS} first turns are answered')
        tries = []
        for number in range(TRIES):
            answer = turn(fleet_, number, b'rail 3', second.attempt)
            fleet_.log_answer('third turn', answer)
            bodies = [
                run[3] for worker in workers for run in worker.runs
                if run[1] == answer.attempt
            ]
            tries.append(bool(bodies))
            if answer.status == 200:
                break
            time.sleep(0.3)
        age = time.monotonic() - answered
        fleet_.record(
            f'{age:.1f} s after the second turn was answered: {sum(tries)} of'
            f' {len(tries)} tries of the third turn reached a worker'
        )
        if age > fleet.RETAIN_S or reached < 0.9 * OTHER_TURNS:
            raise fleet.CannotRunError('the bounds of the rule did not hold')
        return len(tries) >= 5 and not any(tries)


if __name__ == '__main__':
    fleet.main(case)
