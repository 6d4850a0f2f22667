"""Markdown report and plots of a result."""

import pathlib

import matplotlib

matplotlib.use('Agg')

from hdrh import histogram  # noqa: E402
from matplotlib import pyplot  # noqa: E402

from masticquay_bench import results  # noqa: E402

PLOT_PERCENTILES = (1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9)


def render_markdown(
    result: results.Result,
    bounds: list[results.Bound],
    earlier: results.Result | None = None,
) -> str:
    """Writes a result as a Markdown page."""
    lines = ['# Bench result', '']
    lines += [f'* {name}: {value}' for name, value in result.context.items()]
    lines += ['', '## Bounds', '']
    lines += ['| metric | value | bound | held | target |', '|-|-|-|-|-|']
    for bound in bounds:
        value = result.metrics.get(bound.metric)
        shown = 'not run' if value is None else f'{value:.4g}'
        held = '' if value is None else _yes(bound.judge(value))
        lines.append(
            f'| {bound.metric} | {shown} | {bound} | {held} | {bound.target} |'
        )
    lines += ['', '## Metrics', '', '| metric | value | earlier |', '|-|-|-|']
    for name, value in sorted(result.metrics.items()):
        old = earlier.metrics.get(name) if earlier else None
        shown = '' if old is None else f'{old:.4g}'
        lines.append(f'| {name} | {value:.4g} | {shown} |')
    lines += ['', '## Latencies', '']
    lines += ['| measure | p50 | p95 | p99 | most | count |', '|-|-|-|-|-|-|']
    for label, found in result.histograms.items():
        lines.append(
            f'| {label} | {found["p50_ms"]:.1f} | {found["p95_ms"]:.1f} '
            f'| {found["p99_ms"]:.1f} | {found["most_ms"]:.1f} '
            f'| {found["count"]} |'
        )
    if result.failures:
        lines += ['', '## Failures', '']
        lines += [f'* {text}' for text in result.failures]
    return '\n'.join(lines) + '\n'


def plot_latencies(result: results.Result, path: pathlib.Path) -> None:
    """Plots latency by percentile for each measure."""
    figure, axes = pyplot.subplots(figsize=(9, 6))
    for label, found in result.histograms.items():
        values = histogram.HdrHistogram.decode(found['encoded'])
        axes.plot(
            range(len(PLOT_PERCENTILES)),
            [
                values.get_value_at_percentile(p) / 1000
                for p in PLOT_PERCENTILES
            ],
            marker='.',
            label=label,
        )
    axes.set_xticks(
        range(len(PLOT_PERCENTILES)), [str(p) for p in PLOT_PERCENTILES]
    )
    axes.set_yscale('log')
    axes.set_xlabel('percentile')
    axes.set_ylabel('ms')
    axes.grid(True, alpha=0.3)
    if result.histograms:
        axes.legend(fontsize='small')
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def _yes(held: bool) -> str:
    return 'yes' if held else 'NO'
