"""The checkers of all promises, and their verdicts.

A checker reads only what callers and stand-ins recorded, never the router's
own counters, and returns a list of violations.
"""

import typing

from masticquay_bench import change_checkers
from masticquay_bench import evidence
from masticquay_bench import request_checkers

MAX_SHOWN = 5


class Checker(typing.Protocol):
    """Checks one promise."""

    name: str

    def count(self, found: evidence.Evidence) -> int:
        """Returns how many things there are to check."""

    def check(self, found: evidence.Evidence) -> list[str]:
        """Returns a sentence for each violation."""


class Verdict:
    """What a checker found.

    :param checked: how many things the checker could look at
    """

    __slots__ = ('name', 'violations', 'checked')

    def __init__(self, name: str, violations: list[str], checked: int):
        self.name = name
        self.violations = violations
        self.checked = checked

    @property
    def held(self) -> bool:
        """Whether there was no violation."""
        return not self.violations


ALL: list[Checker] = [
    request_checkers.NoOrphanedMemory(),
    request_checkers.AnsweredOnce(),
    request_checkers.OwnWorkspaceOnly(),
    request_checkers.NoKeyAtEndpoint(),
    change_checkers.WithdrawnKeyStops(),
    request_checkers.WithinRate(),
    request_checkers.WholeOwnAnswer(),
    request_checkers.TruthfulNotRun(),
    request_checkers.AtMostOnce(),
    change_checkers.LeavingEndpointQuiet(),
    change_checkers.GracefulStopCutsNothing(),
    change_checkers.BundleStaysInForce(),
]


def judge(found: evidence.Evidence) -> list[Verdict]:
    """Runs every checker."""
    return [
        Verdict(checker.name, checker.check(found), checker.count(found))
        for checker in ALL
    ]


def format_verdicts(verdicts: list[Verdict]) -> str:
    """Writes the verdicts as lines of text."""
    lines = []
    for verdict in verdicts:
        word = 'held' if verdict.held else 'BROKEN'
        if verdict.held and not verdict.checked:
            word = 'not exercised'
        lines.append(f'{verdict.name:28} {word:14} {verdict.checked}')
        lines += [f'    {text}' for text in verdict.violations[:MAX_SHOWN]]
        if len(verdict.violations) > MAX_SHOWN:
            more = len(verdict.violations) - MAX_SHOWN
            lines.append(f'    and {more} more')
    return '\n'.join(lines)
