"""Runs: one workload against one lab under one policy."""

import tempfile

import attrs
import gevent

from carobfork import clock
from carobfork.state import bundles
from carobfork_standins import batching, labs, layouts
from carobfork_standins.experiments import drivers, reports, workloads

FULL_BATCH = 16
GRACE_MS = 30_000
PACE = batching.Pace(
    step_ms=6,
    step_per_sequence_ms=1,
    prefill_tokens_per_ms=30,
    cache_blocks=4000,
)


@attrs.frozen
class Fault:
    """Something that happens in the middle of a run.

    :param verb: a method of the lab, such as ``kill``.
    """

    at_ms: float
    verb: str
    process: str


@attrs.frozen
class Experiment:
    """A workload, its faults and the lab's size."""

    name: str
    streams: tuple[workloads.Stream, ...]
    faults: tuple[Fault, ...] = ()
    entries: int = 6
    engines: int = 4
    services: int = 2
    span_ms: float = 30_000
    urgent_between_tokens_ms: int = 0
    """Time between tokens that the urgent rank asks for, 0 for none."""
    flood_entry: str = ''
    """Entry host by which all callers enter; all hosts where empty."""


@attrs.frozen
class RunResult:
    """A run's report and its cost."""

    experiment: str
    policy: bundles.Policy
    urgent_between_tokens_ms: int
    seed: int
    report: reports.RunReport
    cost: 'Cost'

    def p95_ms(self, rank: str) -> float:
        """Return the 95th percentile of a rank's program latency."""
        measured = self.report.ranks[rank]
        return measured.program_latency.p95_ms


@attrs.frozen
class Cost:
    """What the entry processes and the platform spent in a run."""

    entry_cpu_seconds: float
    control_messages: int
    control_bytes: int
    platform_writes: int
    platform_reads: int
    prefilled_tokens: int


def capacity(experiment: Experiment) -> workloads.Capacity:
    """Return the answer tokens a second at full batches."""
    step_ms = PACE.step_ms + FULL_BATCH * PACE.step_per_sequence_ms
    per_engine = FULL_BATCH / clock.to_seconds(step_ms)
    return workloads.Capacity(per_engine * experiment.engines)


def run(experiment: Experiment, policy: bundles.Policy, seed: int) -> RunResult:
    """Run an experiment in a lab of its own and report it."""
    layout = layouts.Layout(
        entries=experiment.entries,
        engines=experiment.engines,
        services=experiment.services,
        pace=PACE,
    )
    with tempfile.TemporaryDirectory() as directory:
        with labs.Lab(directory, layout) as lab:
            return _run_in(lab, experiment, policy, seed)


def _run_in(
    lab: labs.Lab, experiment: Experiment, policy: bundles.Policy, seed: int
) -> RunResult:
    lab.roll(_bundle(lab, policy, experiment.urgent_between_tokens_ms))
    lab.wait_for_bundle(2)
    plans = workloads.plan(list(experiment.streams), capacity(experiment), seed)
    names = lab.layout.entry_names
    if experiment.flood_entry:
        names = [experiment.flood_entry]
    addresses = [str(lab.processes[name].address) for name in names]
    driver = drivers.Driver(addresses, clock.SystemClock())
    before_seconds = _entry_cpu_seconds(lab)
    for fault in experiment.faults:
        gevent.spawn_later(
            clock.to_seconds(fault.at_ms),
            getattr(lab, fault.verb),
            fault.process,
        )
    driver.run(plans, experiment.span_ms + GRACE_MS)
    return RunResult(
        experiment=experiment.name,
        policy=policy,
        urgent_between_tokens_ms=experiment.urgent_between_tokens_ms,
        seed=seed,
        report=reports.report(driver.measures, driver.now_ms()),
        cost=_cost(lab, before_seconds),
    )


def _bundle(
    lab: labs.Lab, policy: bundles.Policy, between_tokens_ms: int
) -> bundles.Bundle:
    bundle = lab.layout.bundle(version=2)
    urgent, *others = bundle.ranks
    asking = attrs.evolve(urgent, between_tokens_ms=between_tokens_ms)
    return attrs.evolve(bundle, policy=policy, ranks=(asking, *others))


def _cost(lab: labs.Lab, before_seconds: float) -> Cost:
    counts = lab.ask('platform', '/counts')
    traffic = [lab.state(name)['peers'] for name in lab.running_entries()]
    engines = [worker.name for worker in lab.layout.workers()]
    loads = [lab.ask(name, '/load') for name in engines if lab.runs(name)]
    return Cost(
        entry_cpu_seconds=_entry_cpu_seconds(lab) - before_seconds,
        control_messages=sum(one['messages_sent'] for one in traffic),
        control_bytes=sum(one['bytes_sent'] for one in traffic),
        platform_writes=counts.get('writes', 0),
        platform_reads=counts.get('reads', 0) + counts.get('lists', 0),
        prefilled_tokens=sum(load['prefilled_tokens'] for load in loads),
    )


def _entry_cpu_seconds(lab: labs.Lab) -> float:
    return sum(lab.cpu_seconds(name) for name in lab.running_entries())
