"""The commit that is measured, and the command that does it."""

import pathlib
import subprocess

# Flags that say where files go; they do not matter to whoever repeats a run.
PLACE_FLAGS = ('--output', '--keep', '--earlier')


def describe_command(words: list[str]) -> str:
    """Returns a command line without the places of its files."""
    return ' '.join(w for w in words if not w.startswith(PLACE_FLAGS))


def read_commit() -> str:
    """Returns the commit of the working tree, ``-dirty`` when changed."""
    done = subprocess.run(
        ['git', 'describe', '--always', '--dirty'],
        cwd=pathlib.Path(__file__).parent,
        capture_output=True,
        text=True,
    )
    return done.stdout.strip() or 'unknown'
