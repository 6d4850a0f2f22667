"""What commands print: facts and one table, as text, JSON or CSV."""

import csv
import io
import json
import typing

FORMATS = ('text', 'json', 'csv')

Cell = str | int | bool | None


class Report:
    """The result of a command.

    :param facts: single values by name
    :param columns: the names of the table's columns
    :param rows: the table's rows
    """

    __slots__ = ('facts', 'columns', 'rows')

    def __init__(
        self,
        facts: dict[str, Cell | list[str]] | None = None,
        columns: list[str] | None = None,
        rows: list[list[Cell]] | None = None,
    ):
        self.facts = facts or {}
        self.columns = columns or []
        self.rows = rows or []


def render(report: Report, form: str) -> str:
    """Writes a report in one of the ``FORMATS``."""
    if form == 'json':
        return _render_json(report)
    if form == 'csv':
        return _render_csv(report)
    return _render_text(report)


def _render_json(report: Report) -> str:
    value: dict[str, typing.Any] = dict(report.facts)
    if report.columns:
        value['rows'] = [
            dict(zip(report.columns, row, strict=True)) for row in report.rows
        ]
    return json.dumps(value, indent=2) + '\n'


def _render_csv(report: Report) -> str:
    text = io.StringIO()
    writer = csv.writer(text, lineterminator='\n')
    if not report.columns:
        writer.writerow(report.facts)
        writer.writerow([_cell(v) for v in report.facts.values()])
        return text.getvalue()
    writer.writerow(report.columns)
    for row in report.rows:
        writer.writerow([_cell(value) for value in row])
    return text.getvalue()


def _render_text(report: Report) -> str:
    lines = [f'{name}: {_cell(v)}' for name, v in report.facts.items()]
    if report.columns:
        if lines:
            lines.append('')
        lines.extend(_table(report))
    return '\n'.join(lines) + '\n'


def _table(report: Report) -> list[str]:
    rows = [report.columns]
    rows.extend([_cell(value) for value in row] for row in report.rows)
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


def _cell(value: Cell | list[str]) -> str:
    if value is None:
        return ''
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, list):
        return ', '.join(value) or 'none'
    return str(value)
