"""Timings and limits of the replicated log, with their defaults."""


class Settings:
    """Timings and limits; all replicas of a group must use the same timings.

    :param heartbeat_ms: the interval of heartbeats to an idle follower
    :param election_min_ms: the shortest election timeout; a replica that
        heard from a leader within this time grants no vote, which makes
        leader leases safe
    :param election_max_ms: the longest election timeout
    :param drift_margin_ms: subtracted from a lease to allow for clocks that
        run at different rates
    :param call_timeout_ms: the timeout of one request to another replica
    :param append_batch_bytes: the largest total length of the commands in one
        AppendEntries; an entry with a longer command is sent alone
    :param snapshot_chunk_bytes: the size of the chunks in which a snapshot is
        sent
    :param snapshot_interval_entries: a snapshot is taken after this many
        applied entries
    :param retained_entries: how many entries that the snapshot covers stay in
        the log, so that a replica that lags slightly needs no snapshot
    :param max_command_bytes: the longest command that is accepted
    :param max_pending_proposals: how many proposals may be pending; further
        ones are rejected
    """

    __slots__ = (
        'heartbeat_ms',
        'election_min_ms',
        'election_max_ms',
        'drift_margin_ms',
        'call_timeout_ms',
        'append_batch_bytes',
        'snapshot_chunk_bytes',
        'snapshot_interval_entries',
        'retained_entries',
        'max_command_bytes',
        'max_pending_proposals',
    )

    def __init__(
        self,
        heartbeat_ms: int = 250,
        election_min_ms: int = 1_000,
        election_max_ms: int = 1_500,
        drift_margin_ms: int = 100,
        call_timeout_ms: int = 600,
        append_batch_bytes: int = 1024 * 1024,
        snapshot_chunk_bytes: int = 1024 * 1024,
        snapshot_interval_entries: int = 4_096,
        retained_entries: int = 1_024,
        max_command_bytes: int = 4 * 1024 * 1024,
        max_pending_proposals: int = 8_192,
    ):
        self.heartbeat_ms = heartbeat_ms
        self.election_min_ms = election_min_ms
        self.election_max_ms = election_max_ms
        self.drift_margin_ms = drift_margin_ms
        self.call_timeout_ms = call_timeout_ms
        self.append_batch_bytes = append_batch_bytes
        self.snapshot_chunk_bytes = snapshot_chunk_bytes
        self.snapshot_interval_entries = snapshot_interval_entries
        self.retained_entries = retained_entries
        self.max_command_bytes = max_command_bytes
        self.max_pending_proposals = max_pending_proposals
