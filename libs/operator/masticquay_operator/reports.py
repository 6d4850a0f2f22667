"""Reports of commands: a summary and a table, as text, JSON or CSV."""

import csv
import io
import json
import typing

FORMATS = ('text', 'json', 'csv')

Cell = str | int | bool | None


class Report:
    """The result of a command.

    :param summary: single values by name, shown above the table
    :param columns: column names of the table, empty for no table
    :param rows: rows of the table
    """

    __slots__ = ('summary', 'columns', 'rows')

    def __init__(
        self,
        summary: dict[str, Cell | list[str]] | None = None,
        columns: list[str] | None = None,
        rows: list[list[Cell]] | None = None,
    ):
        self.summary = summary or {}
        self.columns = columns or []
        self.rows = rows or []


def render(report: Report, output_format: str) -> str:
    """Renders a report in one of the ``FORMATS``.

    CSV shows the summary only when there is no table.
    """
    if output_format == 'json':
        return _render_json(report)
    if output_format == 'csv':
        return _render_csv(report)
    return _render_text(report)


def _render_json(report: Report) -> str:
    value: dict[str, typing.Any] = dict(report.summary)
    if report.columns:
        value['rows'] = [
            dict(zip(report.columns, row, strict=True)) for row in report.rows
        ]
    return json.dumps(value, indent=2) + '\n'


def _render_csv(report: Report) -> str:
    text = io.StringIO()
    writer = csv.writer(text, lineterminator='\n')
    if not report.columns:
        writer.writerow(report.summary)
        writer.writerow([_format_cell(v) for v in report.summary.values()])
        return text.getvalue()
    writer.writerow(report.columns)
    for row in report.rows:
        writer.writerow([_format_cell(value) for value in row])
    return text.getvalue()


def _render_text(report: Report) -> str:
    lines = [
        f'{name}: {_format_cell(v)}' for name, v in report.summary.items()
    ]
    if report.columns:
        if lines:
            lines.append('')
        lines.extend(_format_table(report))
    return '\n'.join(lines) + '\n'


def _format_table(report: Report) -> list[str]:
    rows = [report.columns]
    rows.extend([_format_cell(value) for value in row] for row in report.rows)
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


def _format_cell(value: Cell | list[str]) -> str:
    if value is None:
        return ''
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, list):
        return ', '.join(value) or 'none'
    return str(value)
