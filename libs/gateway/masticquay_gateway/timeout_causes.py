"""Why an attempt at a request used up its time, for metrics."""

from masticquay_gateway import exchanges

# How an endpoint used up the time of an attempt, in metrics.
CAUSE_SILENT = 'silent'
CAUSE_UNFINISHED = 'unfinished'
# Or this host, which had no memory for the answer.
CAUSE_MEMORY = 'memory'


def find_cause(cause: exchanges.StalledError) -> str:
    """Returns the cause of a time-out."""
    if isinstance(cause, exchanges.ExchangeTimeoutError):
        return CAUSE_UNFINISHED
    if isinstance(cause, exchanges.BudgetTimeoutError):
        return CAUSE_MEMORY
    return CAUSE_SILENT
