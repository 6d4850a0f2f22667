"""The commit that is measured."""

import pathlib
import subprocess


def read_commit() -> str:
    """Returns the commit of the working tree, ``-dirty`` when changed."""
    done = subprocess.run(
        ['git', 'describe', '--always', '--dirty'],
        cwd=pathlib.Path(__file__).parent,
        capture_output=True,
        text=True,
    )
    return done.stdout.strip() or 'unknown'
