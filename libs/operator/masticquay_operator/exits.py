"""Exit codes of the ``masticquay`` command."""

OK = 0
# Set by Python itself after an uncaught exception.
INTERNAL = 1
# The command line is invalid.
USAGE = 2
# An input file is missing or invalid, a file cannot be written, or control
# has no such key or no bundle.
BAD_INPUT = 3
# Another bundle was accepted first, or a replica change failed.
CONFLICT = 4
# The bundle has too few valid signatures of approvers.
UNAPPROVED = 5
# Control did not answer, or answered with an error not listed here.
UNAVAILABLE = 6
# The change is committed, but not in force on every live host in time.
NOT_IN_FORCE = 7
