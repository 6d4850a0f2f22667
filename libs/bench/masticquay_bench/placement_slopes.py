"""Measures the processor time of placing one model request in a pool.

Run as a module, it prints one line for each pool size. The cost of links is
not included; ``wire_benches`` measures the cost of a call.
"""

import sys
import time

from masticquay_coordination import owners
from masticquay_routing import fleets
from masticquay_routing import placement_messages
from masticquay_routing import tables
from masticquay_wire import clocks

ENGINE_COUNTS = (6, 45, 150, 600)
REQUESTS = 2_000
# Every sixth engine runs prefills, the others decode.
ENGINES_PER_PREFILL = 6
ENGINE_MEMORY_TOKENS = 38_000
ENGINE_SLOTS = 64
PROMPT_TOKENS = 3_000
OUTPUT_TOKENS = 800
# When more requests than this run per engine on average, the oldest ends.
MAX_RUNNING_PER_ENGINE = 5
REQUEST_INTERVAL_MS = 20


def make_owner(engine_count: int, clock: clocks.Clock) -> owners.Owner:
    """Returns the owner of one pool with a number of engines."""
    engine = tables.Engine(ENGINE_SLOTS, ENGINE_MEMORY_TOKENS, 500, 6_000)
    service = tables.Service('llm', '/', 100, engine)
    limits = tables.CallerLimits(1, 1, 1, 1)
    owner = owners.Owner(1, clock, first=True)
    owner.set_table(tables.Table(1, [], [service], None, limits))
    owner.set_endpoints(
        [
            fleets.Endpoint(
                f'e{number}',
                'llm',
                f'127.0.0.1:{number}',
                'p1',
                ENGINE_SLOTS,
                False,
                fleets.ROLE_DECODE
                if number % ENGINES_PER_PREFILL
                else fleets.ROLE_PREFILL,
            )
            for number in range(engine_count)
        ]
    )
    return owner


def measure_request_us(engine_count: int) -> float:
    """Returns the processor time per request, in microseconds."""
    clock = clocks.ManualClock()
    owner = make_owner(engine_count, clock)
    running: list[int] = []
    max_running = engine_count * MAX_RUNNING_PER_ENGINE
    started_s = time.process_time()
    for number in range(REQUESTS):
        clock.advance_ms(REQUEST_INTERVAL_MS)
        owner.admit(_make_admit(number))
        owner.finish_prefill(
            placement_messages.PrefillDone('h', 'llm', number)
        )
        owner.begin_decode(placement_messages.Decoding('h', 'llm', number))
        running.append(number)
        if len(running) > max_running:
            finished = running.pop(0)
            owner.finish(
                placement_messages.Finished('h', 'llm', finished, True)
            )
    return (time.process_time() - started_s) * 1e6 / REQUESTS


def _make_admit(number: int) -> placement_messages.Admit:
    return placement_messages.Admit(
        host='h',
        number=number,
        service='llm',
        workspace='',
        cost=0.0,
        prompt_tokens=PROMPT_TOKENS,
        output_tokens=OUTPUT_TOKENS,
        priority=1,
        urgent_ms=900,
        wait_ms=540,
        late_wait_ms=2_000,
        prompt_key=str(number),
        avoid=[],
    )


def main() -> int:
    """Prints the processor time per request for each pool size."""
    for engine_count in ENGINE_COUNTS:
        print(
            f'{engine_count} engines: '
            f'{measure_request_us(engine_count):.0f} us per request'
        )
    return 0


if __name__ == '__main__':
    sys.exit(main())
