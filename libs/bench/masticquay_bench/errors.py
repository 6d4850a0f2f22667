"""Errors of the bench."""


class BenchError(Exception):
    """Any failure of the bench itself."""


class FleetError(BenchError):
    """A process of a fleet did not start, or a command failed."""


class WorkloadError(BenchError):
    """A workload, trace or bounds file is malformed."""
