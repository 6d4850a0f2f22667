"""Results of the bench: JSON, bounds, comparison, report, plots."""

import json
import pathlib
import typing

import jsonschema
import yaml

from masticquay_bench import errors

BOUNDS_FILE = pathlib.Path(__file__).parent / 'data' / 'bounds.yaml'
BOUNDS_SCHEMA = {
    'type': 'array',
    'items': {
        'type': 'object',
        'additionalProperties': False,
        'required': ['metric', 'target'],
        'properties': {
            'metric': {'type': 'string'},
            'least': {'type': 'number'},
            'most': {'type': 'number'},
            'target': {'type': 'string', 'minLength': 8},
        },
    },
}
WORSE_SHARE = 0.1


class Bound:
    """A limit of a metric, with the stated target that it comes from."""

    __slots__ = ('metric', 'least', 'most', 'target')

    def __init__(
        self,
        metric: str,
        target: str,
        least: float = float('-inf'),
        most: float = float('inf'),
    ):
        self.metric = metric
        self.target = target
        self.least = least
        self.most = most

    def judge(self, value: float) -> bool:
        """Whether a value lies within the limit."""
        return self.least <= value <= self.most

    def __str__(self) -> str:
        if self.least != float('-inf'):
            return f'at least {self.least:g}'
        return f'at most {self.most:g}'


def load_bounds(path: pathlib.Path = BOUNDS_FILE) -> list[Bound]:
    """Reads the bounds file.

    :raises WorkloadError: when it is malformed or names a metric twice
    """
    try:
        values = yaml.safe_load(path.read_text())
        jsonschema.validate(values, BOUNDS_SCHEMA)
    except (OSError, yaml.YAMLError, jsonschema.ValidationError) as cause:
        raise errors.WorkloadError(f'{path}: {cause}') from cause
    bounds = [Bound(**entry) for entry in values]
    names = [bound.metric for bound in bounds]
    for name in names:
        if names.count(name) > 1:
            raise errors.WorkloadError(f'{path}: {name} stands twice')
    for bound in bounds:
        unbounded = bound.least == float('-inf') and bound.most == float('inf')
        if unbounded:
            raise errors.WorkloadError(f'{path}: {bound.metric}: no limit')
    return bounds


class Result:
    """What one run of the bench measured.

    :param context: command, seed, commit and the like
    :param metrics: value by name
    :param histograms: percentiles by label
    :param failures: promises that were broken, parts that did not run
    """

    __slots__ = ('context', 'metrics', 'histograms', 'failures')

    def __init__(
        self,
        context: dict[str, typing.Any],
        metrics: dict[str, float] | None = None,
        histograms: dict[str, dict] | None = None,
        failures: list[str] | None = None,
    ):
        self.context = context
        self.metrics = metrics or {}
        self.histograms = histograms or {}
        self.failures = failures or []

    def add(self, prefix: str, metrics: dict[str, float]) -> None:
        """Adds metrics under a prefix."""
        for name, value in metrics.items():
            self.metrics[f'{prefix}.{name}'] = value

    def write(self, path: pathlib.Path) -> None:
        """Writes the result as JSON."""
        value = {
            'context': self.context,
            'metrics': self.metrics,
            'histograms': self.histograms,
            'failures': self.failures,
        }
        path.write_text(json.dumps(value, indent=1) + '\n')

    @classmethod
    def read(cls, path: pathlib.Path) -> typing.Self:
        """Reads what ``write`` wrote.

        :raises WorkloadError: when it is no result
        """
        try:
            value = json.loads(path.read_text())
            return cls(
                value['context'],
                value['metrics'],
                value['histograms'],
                value['failures'],
            )
        except (OSError, ValueError, KeyError, TypeError) as cause:
            raise errors.WorkloadError(f'{path}: {cause!r}') from cause


def find_misses(result: Result, bounds: list[Bound]) -> list[str]:
    """Returns a sentence for each bound that a measured metric missed."""
    return [
        f'{bound.metric} is {result.metrics[bound.metric]:.4g}, '
        f'{bound}: {bound.target}'
        for bound in bounds
        if bound.metric in result.metrics
        and not bound.judge(result.metrics[bound.metric])
    ]


def find_unmeasured(result: Result, bounds: list[Bound]) -> list[str]:
    """Returns the bounded metrics that this run did not measure."""
    return [b.metric for b in bounds if b.metric not in result.metrics]


def compare(result: Result, earlier: Result, bounds: list[Bound]) -> list[str]:
    """Returns the bounded metrics that became clearly worse."""
    worse = []
    for bound in bounds:
        new = result.metrics.get(bound.metric)
        old = earlier.metrics.get(bound.metric)
        if new is None or old is None:
            continue
        change = new - old if bound.most != float('inf') else old - new
        if change > WORSE_SHARE * max(abs(old), 1e-9):
            worse.append(f'{bound.metric}: {old:.4g}, now {new:.4g}')
    return worse
