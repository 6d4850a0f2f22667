"""Works out docs/CAPACITY.md from measured slopes; ``make capacity``."""

import json
import pathlib
import sys
import typing

from masticquay_bench import capacity_pages
from masticquay_bench import errors
from masticquay_bench import slopes
from masticquay_bench import targets
from masticquay_wire import errors as wire_errors

FEW_HOSTS = 9
MANY_HOSTS = 150
PAGE = pathlib.Path(__file__).parents[3] / 'docs' / 'CAPACITY.md'


class Slopes:
    """Measured figures by name; absent ones are None."""

    __slots__ = ('_by_name',)

    def __init__(self, found: list[slopes.Slope]):
        self._by_name = {slope.name: slope for slope in found}

    def value(self, name: str) -> float | None:
        """Returns a figure, None when it was not measured."""
        slope = self._by_name.get(name)
        return None if slope is None else slope.value

    def all(self) -> list[slopes.Slope]:
        """Returns all figures in the order of their names."""
        return [self._by_name[name] for name in sorted(self._by_name)]


def read_slopes(folder: pathlib.Path = slopes.FOLDER) -> Slopes:
    """Reads every file of measured figures.

    :raises WorkloadError: when a file is malformed
    """
    found = []
    for path in sorted(folder.glob('*.json')):
        try:
            values = json.loads(path.read_text())
            found += [slopes.Slope.from_wire(value) for value in values]
        except (ValueError, TypeError, wire_errors.MessageError) as cause:
            raise errors.WorkloadError(f'{path}: {cause}') from cause
    return Slopes(found)


def times(*factors: float | None) -> float | None:
    """Returns the product, None when a factor was not measured."""
    product = 1.0
    for factor in factors:
        if factor is None:
            return None
        product *= factor
    return product


def plus(*parts: float | None) -> float | None:
    """Returns the sum, None when a part was not measured."""
    if any(part is None for part in parts):
        return None
    return sum(typing.cast(list[float], list(parts)))


class Model:
    """The load of each role at the target, from sizes and slopes."""

    def __init__(self, measured: Slopes, size: targets.Sizes):
        self._measured = measured
        self.size = size

    def value(self, name: str) -> float | None:
        """Returns a measured figure."""
        return self._measured.value(name)

    def entry_core_share(self) -> float | None:
        """Returns the core share of an entry host."""
        size = self.size
        return plus(
            times(
                size.tokens_per_host, self.value('relay_us_per_token'), 1e-6
            ),
            times(
                size.requests_per_host,
                self.value('entry_us_per_request'),
                1e-6,
            ),
        )

    def entry_memory_mb(self) -> float | None:
        """Returns the memory of an entry host."""
        streams_mb = times(
            size_streams(self.size),
            self.value('entry_kib_per_stream'),
            1 / 1024,
        )
        return plus(self.value('entry_base_mb'), streams_mb)

    def scheduler_core_share(self) -> float | None:
        """Returns the core share of one pool shard's scheduler."""
        return times(
            self.size.requests_per_shard,
            self.value('scheduler_us_per_request'),
            1e-6,
        )

    def limiter_core_share(self) -> float | None:
        """Returns the core share of the limiter of a mean workspace.

        Only its messages; what it works out for each was not measured.
        """
        return times(
            self.size.requests_per_workspace,
            self.value('limiter_messages_per_charge'),
            self.value('call_listener_us'),
            1e-6,
        )

    def leader_core_share(self, hosts: int) -> float | None:
        """Returns the core share of the control leader with idle hosts."""
        return self._line('control_leader_core_share', hosts)

    def control_memory_mb(self, hosts: int) -> float | None:
        """Returns the memory of a control leader."""
        return self._line('control_leader_mb', hosts)

    def _line(self, name: str, hosts: int) -> float | None:
        """Draws a line through what few and many hosts took."""
        few = self.value(f'{name}_{FEW_HOSTS}')
        many = self.value(f'{name}_{MANY_HOSTS}')
        if few is None or many is None:
            return None
        slope = (many - few) / (MANY_HOSTS - FEW_HOSTS)
        return few + slope * (hosts - FEW_HOSTS)

    def records_core_share(self, per_s: float, slope: str) -> float | None:
        """Returns what non-idempotent calls add to a control host."""
        return times(per_s, self.value(slope), 1e-6)

    def watch_bytes_per_s(self) -> float:
        """Returns what changes cost each host, averaged over a day."""
        day_s = targets.DAY_S
        bundles = self.size.changes_per_day * self.size.bundle_bytes()
        return (bundles + self.view_bytes_per_day()) / day_s

    def view_bytes_per_day(self) -> float:
        """Returns the bytes of view changes to one host in a day."""
        changes = self.size.failures_per_day + 2 * self.size.restarts_per_day
        return changes * self.size.view_bytes()

    def host_bytes_per_s(self) -> float | None:
        """Returns the control traffic of one host."""
        return plus(
            self.value('watcher_bytes_per_s'), self.watch_bytes_per_s()
        )

    def largest_fleet(self, budget: float) -> float | None:
        """Returns how many hosts the leader carries within a core share."""
        at_none, at_one = self.leader_core_share(0), self.leader_core_share(1)
        if at_none is None or at_one is None or at_one <= at_none:
            return None
        return (budget - at_none) / (at_one - at_none)


def size_streams(size: targets.Sizes) -> float:
    """Returns the streams of an entry host."""
    return size.tokens_per_host * size.token_gap_s


def main() -> int:
    """Writes the page."""
    measured = read_slopes()
    model = Model(measured, targets.Sizes())
    PAGE.write_text(capacity_pages.render(model, measured.all()))
    print(f'wrote {PAGE.name} from {len(measured.all())} slopes')
    return 0


if __name__ == '__main__':
    sys.exit(main())
