"""The capacity that placed model requests reserve."""

from masticquay_routing import engine_states
from masticquay_routing import queued_requests


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


class Reservations:
    """The reservations of a pool's placed requests.

    Counts them in the states of the engines.

    :param engines: the engines of the pool by id
    """

    __slots__ = ('_engines', '_by_key')

    def __init__(self, engines: dict[str, engine_states.EngineState]):
        self._engines = engines
        self._by_key: dict[queued_requests.RequestKey, Reservation] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def __contains__(self, key: queued_requests.RequestKey) -> bool:
        return key in self._by_key

    def find(self, key: queued_requests.RequestKey) -> Reservation | None:
        """Returns the reservation of a request, None if it has none."""
        return self._by_key.get(key)

    def add(
        self, key: queued_requests.RequestKey, reservation: Reservation
    ) -> None:
        """Reserves capacity for a request."""
        self._by_key[key] = reservation
        state = self._engines.get(reservation.decode_id)
        if state is not None:
            _count(state, reservation)

    def restore(self, state: engine_states.EngineState) -> None:
        """Counts what is reserved on an engine that is listed again."""
        for reservation in self._by_key.values():
            if reservation.decode_id == state.endpoint.endpoint_id:
                _count(state, reservation)

    def end_prefill(
        self, reservation: Reservation, now_ms: int
    ) -> float | None:
        """Ends the prefill of a request.

        :returns: how long it took, None if that is not known
        """
        prefill = self._engines.get(reservation.prefill_id)
        reservation.prefill_id = ''
        if prefill is None:
            return None
        return prefill.end_prefill(reservation.prompt_tokens, now_ms)

    def cancel_prefill(self, reservation: Reservation) -> None:
        """Ends a prefill that brought no result, if there is one.

        A host that got none has the decode engine read the prompt.
        """
        prefill = self._engines.get(reservation.prefill_id)
        reservation.prefill_id = ''
        if prefill is not None:
            prefill.cancel_prefill(reservation.prompt_tokens)

    def release(self, key: queued_requests.RequestKey) -> None:
        """Frees the reservation of a request that ended."""
        reservation = self._by_key.pop(key, None)
        if reservation is None:
            return
        self.cancel_prefill(reservation)
        state = self._engines.get(reservation.decode_id)
        if state is not None:
            state.running_count -= 1
            state.reserved_tokens -= reservation.memory_tokens

    def release_host(self, host: str) -> None:
        """Frees the reservations of all requests of a host."""
        for key in [k for k in self._by_key if k[0] == host]:
            self.release(key)


def _count(state: engine_states.EngineState, reservation: Reservation) -> None:
    state.running_count += 1
    state.reserved_tokens += reservation.memory_tokens
