"""Compare policies on seeded workloads over real processes.

``python -m bench.policies steady --seeds 3`` writes one JSON file and one
plot to ``bench/results``. Policies take turns on each seed.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402

import attrs  # noqa: E402
import cattrs  # noqa: E402

from carobfork.state import bundles  # noqa: E402
from carobfork_standins.experiments import (  # noqa: E402
    plots,
    runs,
    workloads,
)

SPAN_MS = 20_000
FLOOD_FROM_MS = 5000
OUTPUT = pathlib.Path(__file__).parent / 'results'
BETWEEN_TOKENS_MS = 12
VARIANTS = (
    (bundles.Policy('fifo', 'round_robin'), 0),
    (bundles.Policy('fifo', 'least_loaded'), 0),
    (bundles.Policy('fifo', 'affinity'), 0),
    (bundles.Policy(), 0),
    (bundles.Policy(), BETWEEN_TOKENS_MS),
)


def _stream(rank: str, load: float, start_ms: float = 0) -> workloads.Stream:
    kind = {'urgent': 'quote', 'routine': 'draft'}[rank]
    return workloads.Stream(kind, rank, load, start_ms, SPAN_MS)


def _experiment(name: str, *streams: workloads.Stream, **options):
    return runs.Experiment(name, streams, span_ms=SPAN_MS, **options)


URGENT_LOAD = 0.25
ROUTINE_LOAD = 0.45
FLOOD_LOAD = 3
STEADY = (_stream('urgent', URGENT_LOAD), _stream('routine', ROUTINE_LOAD))
EXPERIMENTS = {  # noqa: WPS407
    'steady': _experiment('steady', *STEADY),
    'routine_flood': _experiment(
        'routine_flood',
        _stream('urgent', URGENT_LOAD),
        _stream('routine', FLOOD_LOAD, FLOOD_FROM_MS),
    ),
    'urgent_alone': _experiment('urgent_alone', _stream('urgent', URGENT_LOAD)),
    'urgent_flood': _experiment(
        'urgent_flood',
        _stream('routine', ROUTINE_LOAD),
        _stream('urgent', FLOOD_LOAD, FLOOD_FROM_MS),
    ),
    'engine_leaves': _experiment(
        'engine_leaves',
        *STEADY,
        faults=(runs.Fault(SPAN_MS / 2, 'kill', 'engine-1'),),
    ),
    'entry_dies': _experiment(
        'entry_dies',
        *STEADY,
        faults=(runs.Fault(SPAN_MS / 2, 'kill', 'entry-1'),),
    ),
}


def main() -> None:
    """Run the experiment named on the command line."""
    options = _options()
    experiment = EXPERIMENTS[options.experiment]
    variants = [VARIANTS[index] for index in options.variants]
    outcomes = []
    for seed in range(1, options.seeds + 1):
        for policy, between_ms in variants:
            varied = attrs.evolve(
                experiment, urgent_between_tokens_ms=between_ms
            )
            outcome = runs.run(varied, policy, seed)
            outcomes.append(outcome)
            sys.stdout.write(_line(outcome))
            sys.stdout.flush()
            _write(options.experiment, outcomes)


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('experiment', choices=sorted(EXPERIMENTS))
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument(
        '--variants', type=int, nargs='+', default=range(len(VARIANTS))
    )
    return parser.parse_args()


def _line(outcome: runs.RunResult) -> str:
    words = [
        outcome.experiment,
        f'seed {outcome.seed}',
        plots.run_label(outcome).replace('\n', ' + '),
    ]
    for name, rank in outcome.report.ranks.items():
        latency = rank.program_latency
        words.append(
            f'{name}: {rank.finished}/{rank.programs} finished, '
            f'mean {latency.mean_ms:.0f} p95 {latency.p95_ms:.0f} ms, '
            f'{rank.refusals} refusals, {rank.served_tokens} tokens, '
            f'errors {rank.errors}'
        )
    words.append(f'again {outcome.report.prefilled_again_tokens}')
    return ' | '.join([*words, '\n'])


def _write(name: str, outcomes: list[runs.RunResult]) -> None:
    OUTPUT.mkdir(exist_ok=True)
    text = json.dumps(cattrs.unstructure(outcomes), indent=1)
    (OUTPUT / f'{name}.json').write_text(text)
    plots.plot_latency(outcomes, str(OUTPUT / f'{name}.png'))


if __name__ == '__main__':
    main()
