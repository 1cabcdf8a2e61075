"""A turn that its client took up is kept without its beginning (UNASKED).

With TROUBLE=0, the entry host is not killed.
"""

import signal

import fleet
import standins

SEEN_EVENTS = 4
"""Events that the client has when the entry host is killed."""
INPUT = b'rail 1;'
TRIES = 3


def fields(**more):
    """Return the headers of a turn of the program."""
    return {
        'X-Program-Id': 'p-1', 'X-Session-Id': 'p-1-s',
        'X-Finish-Ms': standins.finish_ms('p-1', 30), 'X-Token-Budget': '5000',
        'X-Token-Count': '600,140', 'X-Model': 'm', **more,
    }


def case(record_path, trouble):
    """Return whether the rule was broken."""
    with fleet.Fleet(record_path, fronts=6) as fleet_:
        configured = fleet.configuration(version=5)
        configured['Routes'][0]['Resumable'] = True
        fleet_.platform.put('config', 'main', configured)
        workers = [
            standins.Worker(
                fleet_.platform, f'i-{number}', fleet.AGENTS, fleet_.record,
                zone=fleet.ZONES[number % 3], event_s=0.05,
            )
            for number in range(5)
        ]
        fleet_.start()
        last, events = stream_turn(fleet_, trouble)
        expected = INPUT + b''.join(event + b'\n' for event in events)
        expected += b'rail 2;'
        for number in range(TRIES):
            answer = fleet_.call(
                fleet_.fronts[1 + number % 2], 'POST', '/measure/2f',
                fields(**{'X-Previous-Turn': last.attempt}), b'rail 2;',
            )
            fleet_.log_answer('second turn', answer)
            bodies = [
                run[3] for worker in workers for run in worker.runs
                if run[1] == answer.attempt
            ]
            for body in bodies:
                fleet_.record(f'a worker ran it with the body {body!r}')
                if body != expected:
                    fleet_.record(f'the body should have been {expected!r}')
                    return True
            if bodies:
                return False
        raise fleet.CannotRunError('the second turn reached no worker')


def stream_turn(fleet_, trouble):
    """Run the first turn to its end; return its last attempt and events."""
    killed = []

    def kill(answer):
        if trouble and not killed and len(answer.events) >= SEEN_EVENTS:
            killed.append(True)
            fleet_.fronts[0].send(signal.SIGKILL)

    answer = fleet_.call(
        fleet_.fronts[0], 'POST', '/measure/2f', fields(), INPUT,
        on_event=kill,
    )
    fleet_.log_answer('first turn', answer)
    events = list(answer.events)
    begun = answer.attempt
    for number in range(TRIES):
        if answer.status == 200 and answer.is_whole:
            return answer, events
        # The client takes the stream up after its last event.
        answer = fleet_.call(
            fleet_.fronts[1 + number % 2], 'POST', '/measure/2f',
            fields(**{'Last-Event-Id': str(len(events)), 'Resumes': begun}),
            INPUT,
        )
        fleet_.log_answer(
            f'first turn, taken up after event {len(events)}', answer
        )
        events += answer.events
    if answer.status == 200 and answer.is_whole:
        return answer, events
    raise fleet.CannotRunError('the first turn was not answered whole')


if __name__ == '__main__':
    fleet.main(case)
