"""Reports: what a run's measures say, per rank."""

import attrs
from hdrh import histogram

from carobfork_standins.experiments import drivers

_HIGHEST_US = 3_600_000_000
_DIGITS = 3
_US_PER_MS = 1000
_PERCENTILES = (50, 95, 99)


@attrs.frozen
class Distribution:
    """Percentiles in ms, 0 where nothing was measured."""

    count: int
    mean_ms: float
    p50_ms: float
    p95_ms: float
    p99_ms: float


@attrs.frozen
class RankReport:
    """What one rank's callers saw."""

    programs: int
    finished: int
    refused_programs: int
    refusals: int
    errors: dict[str, int]
    program_latency: Distribution
    first_token: Distribution
    between_tokens: Distribution
    refusal: Distribution
    served_tokens: int
    served_tokens_of_finished: int


@attrs.frozen
class RunReport:
    """What a whole run brought."""

    ranks: dict[str, RankReport]
    program_latency: Distribution
    span_ms: float
    tokens_per_second: float
    prompt_tokens: int
    prefilled_again_tokens: int


def distribution(samples_ms: list[float]) -> Distribution:
    """Return the percentiles of samples in ms."""
    recorder = histogram.HdrHistogram(1, _HIGHEST_US, _DIGITS)
    for sample_ms in samples_ms:
        recorder.record_value(max(1, int(sample_ms * _US_PER_MS)))
    points = [
        recorder.get_value_at_percentile(percentile) / _US_PER_MS
        for percentile in _PERCENTILES
    ]
    mean_ms = sum(samples_ms) / len(samples_ms) if samples_ms else 0
    return Distribution(len(samples_ms), mean_ms, *points)


def report(measures: list[drivers.ProgramMeasure], span_ms: float) -> RunReport:
    """Return the report of a run that took ``span_ms``."""
    calls = [call for program in measures for call in program.calls]
    tokens = sum(call.tokens for call in calls)
    names = sorted({program.rank for program in measures})
    return RunReport(
        ranks={
            name: _rank_report([one for one in measures if one.rank == name])
            for name in names
        },
        program_latency=distribution(_latencies(measures)),
        span_ms=span_ms,
        tokens_per_second=tokens / span_ms * 1000,
        prompt_tokens=sum(call.prompt_tokens for call in calls),
        prefilled_again_tokens=sum(
            call.prefilled_again_tokens for call in calls
        ),
    )


def _rank_report(measures: list[drivers.ProgramMeasure]) -> RankReport:
    calls = [call for program in measures for call in program.calls]
    finished = [program for program in measures if program.finished]
    errors: dict[str, int] = {}
    for program in measures:
        for code in program.errors:
            errors[code] = errors.get(code, 0) + 1
    refusals_ms = [ms for program in measures for ms in program.refused_ms]
    return RankReport(
        programs=len(measures),
        finished=len(finished),
        refused_programs=sum(not program.admitted for program in measures),
        refusals=len(refusals_ms),
        errors=errors,
        program_latency=distribution(_latencies(finished)),
        first_token=distribution([call.first_token_ms for call in calls]),
        between_tokens=distribution(
            [gap for call in calls for gap in call.gaps_ms]
        ),
        refusal=distribution(refusals_ms),
        served_tokens=sum(call.tokens for call in calls),
        served_tokens_of_finished=sum(
            call.tokens for program in finished for call in program.calls
        ),
    )


def _latencies(measures: list[drivers.ProgramMeasure]) -> list[float]:
    return [
        program.end_ms - program.start_ms
        for program in measures
        if program.finished
    ]
