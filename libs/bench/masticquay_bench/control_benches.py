"""Measures control: changes in force, view changes, takeover, upkeep."""

import statistics
import time
import typing

from masticquay_bench import control_groups
from masticquay_bench import processes
from masticquay_membership import operator_messages
from masticquay_wire import records

SIZES = (9, 50, 150)
QUICK_SIZES = (9,)
TARGET_HOSTS = 400
REPEATS = 7
QUICK_REPEATS = 3
UPKEEP_S = 10.0
SETTLE_S = 3.0
MEGABYTE = 1024 * 1024


class Measured(records.Record):
    """One figure.

    :param context: how it was made, for a reader who repeats it
    """

    __slots__ = ('name', 'value', 'unit', 'context')

    def __init__(self, name: str, value: float, unit: str, context: str):
        self.name = name
        self.value = value
        self.unit = unit
        self.context = context


def run(quick: bool, seed: int) -> list[Measured]:
    """Measures everything.

    :param seed: without effect: nothing here is drawn at random
    """
    sizes = QUICK_SIZES if quick else SIZES
    repeats = QUICK_REPEATS if quick else REPEATS
    measured = []
    for hosts in sizes:
        measured += measure_group(hosts, repeats)
    if len(sizes) > 1:
        for name in ('roll_ms', 'withdrawal_ms', 'leader_core_share'):
            measured.append(_extrapolate(measured, name, sizes))
    return measured


def measure_group(hosts: int, repeats: int) -> list[Measured]:
    """Measures one group of three replicas with a number of hosts."""
    with control_groups.Group(hosts) as group:
        measured = measure_in_force(group, hosts, repeats)
        measured += measure_upkeep(group, hosts)
        measured += measure_cut_off(group, hosts)
        measured += measure_host_death(group, hosts)
        measured += measure_takeover(group, hosts)
    return measured


def measure_in_force(
    group: control_groups.Group, hosts: int, repeats: int
) -> list[Measured]:
    """Times rolls and withdrawals from the call until in force."""
    rolls_ms = [_time_ms(group, group.roll) for _ in range(repeats)]
    keys_ms = [_time_ms(group, group.withdraw) for _ in range(repeats)]
    context = f'{hosts} hosts, median of {repeats}'
    worst = f'{hosts} hosts, worst of {repeats}'
    return [
        Measured(_name('roll_ms', hosts), _median(rolls_ms), 'ms', context),
        Measured(_name('roll_worst_ms', hosts), max(rolls_ms), 'ms', worst),
        Measured(
            _name('withdrawal_ms', hosts), _median(keys_ms), 'ms', context
        ),
        Measured(
            _name('withdrawal_worst_ms', hosts), max(keys_ms), 'ms', worst
        ),
    ]


def measure_cut_off(group: control_groups.Group, hosts: int) -> list[Measured]:
    """Times a roll and a withdrawal with one host silently stopped."""
    measured = []
    for name, change in (
        ('roll_cut_off_ms', group.roll),
        ('withdrawal_cut_off_ms', group.withdraw),
    ):
        stopped = group.start_host(name.replace('_', '-'))
        stopped.pause()
        took_ms = _time_ms(group, change)
        stopped.kill()
        context = f'{hosts} hosts and one stopped just before'
        measured.append(Measured(_name(name, hosts), took_ms, 'ms', context))
    return measured


def measure_host_death(
    group: control_groups.Group, hosts: int
) -> list[Measured]:
    """Times from a host's death to a view without it, adopted by all."""
    observer = group.start_session('observer')
    victim = group.start_host('victim')
    control_groups.wait_until(lambda: _listed(observer, 'victim-0'))
    begin_s = time.monotonic()
    victim.kill()
    control_groups.wait_until(lambda: not _listed(observer, 'victim-0'))
    seen_ms = _since_ms(begin_s)
    number = observer.state().view.number
    control_groups.wait_until(
        lambda: observer.state().adopted_view_number >= number
    )
    adopted_ms = _since_ms(begin_s)
    context = f'{hosts} hosts, one killed'
    return [
        Measured(_name('new_owner_ms', hosts), seen_ms, 'ms', context),
        Measured(_name('view_adopted_ms', hosts), adopted_ms, 'ms', context),
    ]


def measure_takeover(
    group: control_groups.Group, hosts: int
) -> list[Measured]:
    """Times from the leader's death to the next accepted roll."""
    before = _incarnations(group)
    leader = group.leader()
    begin_s = time.monotonic()
    leader.kill()
    group.wait_in_force(group.roll())
    took_ms = _since_ms(begin_s)
    time.sleep(SETTLE_S + UPKEEP_S / 2)
    lost = len(before - _incarnations(group))
    context = f'{hosts} hosts, leader of three killed'
    return [
        Measured(_name('takeover_ms', hosts), took_ms, 'ms', context),
        Measured(_name('takeover_evicted', hosts), lost, '', context),
    ]


def measure_upkeep(group: control_groups.Group, hosts: int) -> list[Measured]:
    """Measures what leases and links cost while nothing changes."""
    time.sleep(SETTLE_S)
    leader = group.leader()
    watching = group.host_processes
    leader_cpu_s, hosts_cpu_s = leader.cpu_s(), _cpu_s(watching)
    moved_bytes = group.moved_bytes()
    begin_s = time.monotonic()
    time.sleep(UPKEEP_S)
    passed_s = time.monotonic() - begin_s
    leader_share = (leader.cpu_s() - leader_cpu_s) / passed_s
    host_share = (_cpu_s(watching) - hosts_cpu_s) / passed_s / hosts
    moved = (group.moved_bytes() - moved_bytes) / passed_s / hosts
    leader_mb = control_groups.private_bytes(leader) / MEGABYTE
    context = f'{hosts} hosts, {UPKEEP_S:.0f} s without changes'
    figures = (
        ('leader_core_share', leader_share, 'core'),
        ('host_core_share', host_share, 'core'),
        ('host_bytes_per_s', moved, 'B/s'),
        ('leader_private_mb', leader_mb, 'MB'),
    )
    return [
        Measured(_name(name, hosts), value, unit, context)
        for name, value, unit in figures
    ]


def _extrapolate(
    measured: list[Measured], name: str, sizes: tuple[int, ...]
) -> Measured:
    """Draws a line through the sizes, up to the target's."""
    values = {record.name: record.value for record in measured}
    points = [values[_name(name, hosts)] for hosts in sizes]
    line = statistics.linear_regression(sizes, points)
    value = line.intercept + line.slope * TARGET_HOSTS
    unit = next(r.unit for r in measured if r.name == _name(name, sizes[0]))
    context = f'from {sizes} hosts: {line.slope:.4g} {unit} a host'
    return Measured(_name(name, TARGET_HOSTS), value, unit, context)


def _time_ms(
    group: control_groups.Group, change: typing.Callable[[], int]
) -> float:
    begin_s = time.monotonic()
    group.wait_in_force(change())
    return _since_ms(begin_s)


def _since_ms(begin_s: float) -> float:
    return (time.monotonic() - begin_s) * 1000


def _median(values: list[float]) -> float:
    return statistics.median(values)


def _name(name: str, hosts: int) -> str:
    return f'{name}.{hosts}_hosts'


def _listed(observer: typing.Any, host: str) -> bool:
    return observer.state().view.host(host) is not None


def _incarnations(group: control_groups.Group) -> set[tuple[str, int]]:
    status = group.call(operator_messages.QueryStatus())
    return {(host.name, host.incarnation) for host in status.view.hosts}


def _cpu_s(watching: list[processes.Process]) -> float:
    return sum(process.cpu_s() for process in watching)


def main() -> None:
    """Prints all figures."""
    for record in run(False, 0):
        print(
            f'{record.name} {record.value:.4g} {record.unit}'
            f' ({record.context})',
            flush=True,
        )


if __name__ == '__main__':
    main()
