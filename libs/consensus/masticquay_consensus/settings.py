"""Timings and limits of the replicated log, with their defaults."""


class Settings:
    """Timings and limits; all replicas of a group use the same timings.

    :param election_min_ms: a replica that heard from a leader within this
        time grants no vote; leases rest on it
    :param election_max_ms: the longest wait for a leader before a probe
    :param drift_margin_ms: taken off a lease for clocks of unequal speed
    :param retained_entries: entries kept before the snapshot, so that a
        replica that lags little needs no snapshot
    """

    __slots__ = (
        'heartbeat_ms',
        'election_min_ms',
        'election_max_ms',
        'drift_margin_ms',
        'call_timeout_ms',
        'batch_bytes',
        'chunk_bytes',
        'snapshot_entries',
        'retained_entries',
        'max_command_bytes',
        'max_open_proposals',
    )

    def __init__(
        self,
        heartbeat_ms: int = 250,
        election_min_ms: int = 1_000,
        election_max_ms: int = 1_500,
        drift_margin_ms: int = 100,
        call_timeout_ms: int = 600,
        batch_bytes: int = 1024 * 1024,
        chunk_bytes: int = 1024 * 1024,
        snapshot_entries: int = 4_096,
        retained_entries: int = 1_024,
        max_command_bytes: int = 4 * 1024 * 1024,
        max_open_proposals: int = 8_192,
    ):
        self.heartbeat_ms = heartbeat_ms
        self.election_min_ms = election_min_ms
        self.election_max_ms = election_max_ms
        self.drift_margin_ms = drift_margin_ms
        self.call_timeout_ms = call_timeout_ms
        self.batch_bytes = batch_bytes
        self.chunk_bytes = chunk_bytes
        self.snapshot_entries = snapshot_entries
        self.retained_entries = retained_entries
        self.max_command_bytes = max_command_bytes
        self.max_open_proposals = max_open_proposals
