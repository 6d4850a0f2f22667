"""Compares one shared queue with a queue per data centre over many loads.

Run as a module, it prints a table that shows whether the gain of statistical
multiplexing shrinks at high utilization.
"""

from masticquay_bench import decision_policies
from masticquay_bench import decision_runs
from masticquay_bench import decision_statistics
from masticquay_bench import decision_traces

DURATION_MS = 120_000
SEEDS = (1, 2, 3)
LOADS = (0.3, 0.5, 0.7, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0)


def measure_goodput(
    deployment: decision_traces.Deployment,
    make_policy: decision_runs.MakePolicy,
    load: float,
) -> float:
    """Returns the share of requests that met their targets, over all seeds."""
    classes = deployment.make_bundle().classes
    goodput_sum = 0.0
    for seed in SEEDS:
        trace = decision_traces.make_trace(deployment, DURATION_MS, load, seed)
        state = decision_runs.Simulation(
            deployment, make_policy, trace, seed
        ).run()
        statistics = decision_statistics.RunStatistics(state, classes)
        goodput_sum += statistics.goodput
    return goodput_sum / len(SEEDS)


def main() -> None:
    """Prints the goodput of both policies for each deployment and load."""
    print('deployment load one-queue partitions gain')
    for deployment in (
        decision_traces.KALAMU_PAMOJA,
        decision_traces.BATANGAS,
    ):
        for load in LOADS:
            shared = measure_goodput(
                deployment, decision_policies.SchedulerPolicy, load
            )
            partitioned = measure_goodput(
                deployment, decision_policies.PartitionPolicy, load
            )
            gain = shared / partitioned - 1
            print(
                f'{deployment.name} {load} {shared:.3f} {partitioned:.3f} '
                f'{gain:+.1%}',
                flush=True,
            )


if __name__ == '__main__':
    main()
