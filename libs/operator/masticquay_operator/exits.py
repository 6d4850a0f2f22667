"""Exit codes of the operators' command."""

OK = 0
INTERNAL = 1
USAGE = 2
BAD_INPUT = 3
CONFLICT = 4
UNAPPROVED = 5
UNAVAILABLE = 6
NOT_IN_FORCE = 7
