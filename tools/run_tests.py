"""Runs every library's tests, each library in its own process.

Prints one closing line with the counts of all libraries together.
"""

import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
LIBRARY_TIMEOUT_S = 900
COUNT_PATTERN = re.compile(r'^Ran (\d+) tests?', re.MULTILINE)
FAILED_PATTERN = re.compile(r'(?:failures|errors)=(\d+)')
SKIPPED_PATTERN = re.compile(r'skipped=(\d+)')


class LibraryResult:
    """Counts of one library's test run."""

    __slots__ = ('name', 'passed', 'failed', 'skipped')

    def __init__(self, name: str, passed: int, failed: int, skipped: int):
        self.name = name
        self.passed = passed
        self.failed = failed
        self.skipped = skipped


def list_libraries(names: list[str]) -> list[pathlib.Path]:
    """Lists the library folders, all of them when no name is given."""
    if names:
        return [ROOT / 'libs' / name for name in names]
    return sorted(path.parent for path in ROOT.glob('libs/*/pyproject.toml'))


def run_library(library: pathlib.Path) -> LibraryResult:
    """Runs the tests of one library and counts the outcomes."""
    command = [sys.executable, '-m', 'nose2', '-s', '.', '-t', '.', 'tests']
    print(f'== {library.name}', flush=True)
    try:
        done = subprocess.run(
            command,
            cwd=library,
            capture_output=True,
            text=True,
            timeout=LIBRARY_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        print(f'{library.name}: no end within {LIBRARY_TIMEOUT_S} s')
        return LibraryResult(library.name, 0, 1, 0)
    print(done.stderr, flush=True)
    if done.returncode:
        print(done.stdout, flush=True)
    ran = sum(int(count) for count in COUNT_PATTERN.findall(done.stderr))
    failed = sum(int(count) for count in FAILED_PATTERN.findall(done.stderr))
    skipped = sum(int(count) for count in SKIPPED_PATTERN.findall(done.stderr))
    if done.returncode and not failed:
        failed = 1
    return LibraryResult(
        library.name, max(0, ran - failed - skipped), failed, skipped
    )


def main() -> int:
    """Runs the named libraries and returns the exit status."""
    results = [run_library(path) for path in list_libraries(sys.argv[1:])]
    for result in results:
        if result.failed:
            print(f'failed: {result.name}')
    passed = sum(result.passed for result in results)
    failed = sum(result.failed for result in results)
    skipped = sum(result.skipped for result in results)
    print(f'{passed} passed, {failed} failed, {skipped} skipped')
    return 1 if failed or not passed else 0


if __name__ == '__main__':
    sys.exit(main())
