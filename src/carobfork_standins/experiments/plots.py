"""Plots: program latency per policy and rank, with the spread over seeds."""

import statistics
from collections.abc import Sequence

import matplotlib as mpl
from matplotlib import pyplot

from carobfork_standins.experiments import runs

mpl.use('agg')
_WIDTH = 0.8
_FIGURE_INCHES = (9, 4.5)
_DPI = 100


def plot_latency(outcomes: Sequence[runs.RunResult], path: str) -> None:
    """Draw the ranks' p95 program latency of one experiment.

    :param outcomes: all runs of the experiment.
    :param path: the picture's path, .png or .svg.
    """
    labels = sorted({run_label(one) for one in outcomes})
    ranks = sorted({rank for one in outcomes for rank in one.report.ranks})
    figure, axes = pyplot.subplots(figsize=_FIGURE_INCHES)
    width = _WIDTH / len(ranks)
    for position, rank in enumerate(ranks):
        samples = [_samples(outcomes, label, rank) for label in labels]
        axes.bar(
            [place + position * width for place in range(len(labels))],
            [statistics.median(sample) for sample in samples],
            width,
            yerr=[
                [statistics.median(one) - min(one) for one in samples],
                [max(one) - statistics.median(one) for one in samples],
            ],
            label=rank,
            capsize=3,
        )
    axes.set_xticks(range(len(labels)), labels)
    axes.set_ylabel('program latency p95, ms (median, range over seeds)')
    axes.set_title(outcomes[0].experiment)
    axes.legend()
    figure.savefig(path, dpi=_DPI, bbox_inches='tight')
    pyplot.close(figure)


def run_label(outcome: runs.RunResult) -> str:
    """Return the short name of what a run compares."""
    policy = outcome.policy
    label = f'{policy.order}\n{policy.placement}'
    if outcome.urgent_between_tokens_ms:
        return f'{label}\nisolated'
    return label


def _samples(
    outcomes: Sequence[runs.RunResult], label: str, rank: str
) -> list[float]:
    return [
        one.p95_ms(rank)
        for one in outcomes
        if run_label(one) == label and rank in one.report.ranks
    ]
