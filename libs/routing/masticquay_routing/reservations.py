"""The capacity that placed model requests reserve."""


class Reservation:
    """The capacity that a placed request reserves.

    :param memory_tokens: the decode memory
    :param prefill_id: the prefill engine; empty if there is none or it has
        completed the prefill
    :param local_prefill_started_ms: when the local prefill was placed, None
        if there is none
    """

    __slots__ = (
        'decode_id',
        'memory_tokens',
        'prefill_id',
        'prompt_tokens',
        'local_prefill_started_ms',
    )

    def __init__(
        self,
        decode_id: str,
        memory_tokens: int,
        prefill_id: str,
        prompt_tokens: int,
        local_prefill_started_ms: int | None = None,
    ):
        self.decode_id = decode_id
        self.memory_tokens = memory_tokens
        self.prefill_id = prefill_id
        self.prompt_tokens = prompt_tokens
        self.local_prefill_started_ms = local_prefill_started_ms
