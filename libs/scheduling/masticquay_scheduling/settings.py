"""Settings of scheduling and rate limiting, with their defaults."""


class SchedulingSettings:
    """Limits and policy of pools and rates.

    Every keyword names an attribute and replaces its default.

    :raises TypeError: for a name that is no setting
    """

    # Pools
    max_pool_endpoints = 12
    max_queued_per_workspace = 256
    headroom_percent = 2
    deferred_headroom_percent = 20
    deferred_patience_percent = 50
    prompt_wait_percent = 70
    lead_ms = 30_000
    credit_ms = 60_000
    prefill_backlog_ms = 20
    start_margin_ms = 20
    start_margin_percent = 25
    ample_slots_percent = 20
    overlap_horizon_ms = 700
    overlap_sigmas = 1.0
    transfer_margin_ms = 50
    refuse_margin_percent = 400
    adopted_limit_ms = 600_000
    placement_grace_ms = 5_000
    recovery_limit_ms = 5_000
    min_retry_after_ms = 100
    max_retry_after_ms = 30_000
    spill_attempts = 2

    # Starting estimates of engines
    prefill_us_per_token = 200
    decode_ms_per_token = 25
    output_percent = 50
    stall_timeout_ms = 2_000
    service_call_ms = 50
    slot_busy_ms = 2_000

    # Health of endpoints
    eject_failures = 3
    eject_ms = 2_000
    max_eject_ms = 30_000
    max_ejected_percent = 50
    slow_start_ms = 5_000
    outlier_samples = 20
    outlier_factor = 3
    outlier_floor_ms = 5
    slow_start_percent = 20
    load_timeout_ms = 2_500
    load_poll_ms = 500
    cancel_retry_ms = 200

    # Rates
    grant_valid_ms = 6_000
    grant_margin_ms = 500
    grant_horizon_ms = 500
    report_interval_ms = 100
    use_window_ms = 500
    scarce_percent = 70
    parked_percent = 10
    recall_wait_ms = 25
    grant_timeout_ms = 1_000

    # Retries
    retry_percent = 10
    retry_reserve = 5

    def __init__(self, **values: int | float):
        for name, value in values.items():
            if name.startswith('_') or not hasattr(type(self), name):
                raise TypeError(f'no setting {name}')
            setattr(self, name, value)
