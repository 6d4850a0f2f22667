"""Settings of scheduling and rate limiting, with their defaults."""


class SchedulingSettings:
    """Limits and policies of pools and rate limiters.

    Each keyword argument replaces the default of the attribute it names.

    :raises TypeError: for an unknown name
    """

    # Pools
    max_pool_endpoints = 12
    max_queued_per_workspace = 256
    # Decode slots kept free for requests of urgent classes. Deferred requests
    # leave more slots free during the first part of their waiting time.
    headroom_percent = 2
    deferred_headroom_percent = 20
    deferred_yield_percent = 50
    # How long other requests may keep the last prefill endpoint busy, as part
    # of the shortest first-token target of the urgent classes.
    prefill_blocking_percent = 70
    # Fair queue: largest lead in virtual time within which due times decide
    # the order, and the largest unused share that a workspace may catch up.
    max_lead_ms = 30_000
    max_credit_ms = 60_000
    # An endpoint with more prefill work queued gets no further prefill.
    prefill_backlog_ms = 20
    # Added to the estimated time to the first byte.
    first_byte_margin_ms = 20
    first_byte_margin_percent = 25
    # With more decode slots free, the decode endpoint is bound before the
    # prefill.
    ample_slots_percent = 20
    # Prefills also begin for decode slots that should come free within this
    # time. Their expected number is reduced by overlap_sigmas standard
    # deviations.
    overlap_horizon_ms = 700
    overlap_sigmas = 1.0
    # Waiting for a decode slot ends this long before the transfer must start.
    transfer_margin_ms = 50
    # A new request is refused when its estimated wait exceeds this percentage
    # of the time left to place it.
    refuse_margin_percent = 400
    # An adopted placement, whose deadline is unknown, is cancelled after
    # adopted_timeout_ms, any other placement_grace_ms after its deadline.
    adopted_timeout_ms = 600_000
    placement_grace_ms = 5_000
    # A new owner waits this long for the placements of all hosts.
    recovery_timeout_ms = 5_000
    min_retry_after_ms = 100
    max_retry_after_ms = 30_000
    # Other pools of the same target that are tried after a refusal.
    spill_attempts = 2

    # Initial estimates of engines and services
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
    # An endpoint with this many samples is ejected as slow if its mean exceeds
    # both outlier_floor_ms and outlier_factor times the median of its peers.
    outlier_samples = 20
    outlier_factor = 3
    outlier_floor_ms = 5
    slow_start_percent = 20
    load_timeout_ms = 2_500
    load_poll_ms = 500
    cancel_retry_ms = 200

    # Rates
    # A grant ends at the host after grant_valid_ms, and at the owner later by
    # the margin.
    grant_valid_ms = 6_000
    grant_margin_ms = 500
    # A host asks for the tokens that it expects to spend within this time.
    grant_horizon_ms = 500
    report_interval_ms = 100
    use_window_ms = 500
    # Below this part of the burst, hosts are asked to give back idle tokens.
    scarce_percent = 70
    # Part of the burst that all hosts together may hold. Only tokens needed at
    # once are granted beyond it.
    max_outstanding_percent = 10
    # Within this time other hosts give back tokens that they do not need.
    return_wait_ms = 25
    grant_timeout_ms = 1_000

    # Retries
    # Retries allowed for each hundred successes, and without any success.
    retry_percent = 10
    retry_reserve = 5

    def __init__(self, **values: int | float):
        for name, value in values.items():
            if name.startswith('_') or not hasattr(type(self), name):
                raise TypeError(f'unknown scheduling setting {name}')
            setattr(self, name, value)
