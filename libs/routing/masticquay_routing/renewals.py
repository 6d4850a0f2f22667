"""How often entry hosts renew their sessions with the leader."""

MIN_INTERVAL_MS = 400
MAX_INTERVAL_MS = 800
# Of all hosts together. An answer costs the leader most of its time in large
# fleets, and what is left must suffice for placements and tables.
MAX_RENEWALS_PER_S = 240
# Added to the interval: without an answer for so long, a host works without
# the leader.
LEADER_SLACK_MS = 450
# Added to the interval: without a renewal for so long, a session ends. Leaves
# time for a host to find the leader anew after an answer was lost.
SESSION_SLACK_MS = 1_400


def interval_ms(host_count: int) -> int:
    """Returns the time between two renewals of each host."""
    wanted_ms = host_count * 1_000 // MAX_RENEWALS_PER_S
    return min(MAX_INTERVAL_MS, max(MIN_INTERVAL_MS, wanted_ms))


def leader_timeout_ms(renew_interval_ms: int) -> int:
    """Returns after which time without an answer a host has no leader."""
    return renew_interval_ms + LEADER_SLACK_MS


def session_timeout_ms(renew_interval_ms: int) -> int:
    """Returns after which time without a renewal a session ends."""
    return renew_interval_ms + SESSION_SLACK_MS
