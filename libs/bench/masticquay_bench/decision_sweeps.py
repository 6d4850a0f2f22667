"""Compares one queue over all engines with partitions, load by load.

Run as a program; it prints a table. This tests whether the gain of
statistical multiplexing fades at high utilization.
"""

from masticquay_bench import decision_policies
from masticquay_bench import decision_runs
from masticquay_bench import decision_traces

DURATION_MS = 120_000
SEEDS = (1, 2, 3)
LOADS = (0.3, 0.5, 0.7, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0)


def measure_goodput(
    deployment: decision_traces.Deployment,
    make_policy: decision_runs.MakePolicy,
    load: float,
) -> float:
    """Returns the mean share of requests within their targets."""
    classes = deployment.make_bundle().classes
    total = 0.0
    for seed in SEEDS:
        trace = decision_traces.make_trace(deployment, DURATION_MS, load, seed)
        run = decision_runs.Run(deployment, make_policy, trace, seed).run()
        total += decision_runs.Measures(run, classes).goodput
    return total / len(SEEDS)


def main() -> None:
    """Prints a line for each deployment and load."""
    print('deployment load one-queue partitions gain')
    for deployment in (
        decision_traces.KALAMU_PAMOJA,
        decision_traces.BATANGAS,
    ):
        for load in LOADS:
            one = measure_goodput(
                deployment, decision_policies.SchedulerPolicy, load
            )
            parts = measure_goodput(
                deployment, decision_policies.PartitionPolicy, load
            )
            gain = one / parts - 1
            print(
                f'{deployment.name} {load} {one:.3f} {parts:.3f} {gain:+.1%}',
                flush=True,
            )


if __name__ == '__main__':
    main()
