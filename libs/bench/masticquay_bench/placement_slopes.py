"""Measures what one placed model request costs the owner of the pools.

Run ``python -m masticquay_bench.placement_slopes``; prints one line for each
size. Links are not part of it: see ``wire_benches`` for a call's cost.
"""

import sys
import time

from masticquay_coordination import owners
from masticquay_routing import fleets
from masticquay_routing import messages
from masticquay_routing import tables
from masticquay_wire import clocks

SIZES = (6, 45, 150, 600)
REQUESTS = 2_000
PREFILL_SHARE = 6
MEMORY_TOKENS = 38_000
SLOTS = 64
PROMPT_TOKENS = 3_000
OUTPUT_TOKENS = 800
# Requests that run at once on each decode engine.
RUNNING_PER_ENGINE = 5
STEP_MS = 20


def make_owner(engine_count: int, clock: clocks.Clock) -> owners.Owner:
    """Returns an owner of one pool."""
    engine = tables.Engine(SLOTS, MEMORY_TOKENS, 500, 6_000)
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
                SLOTS,
                False,
                fleets.ROLE_DECODE
                if number % PREFILL_SHARE
                else fleets.ROLE_PREFILL,
            )
            for number in range(engine_count)
        ]
    )
    return owner


def measure(engine_count: int) -> float:
    """Returns the processor time of a request in microseconds."""
    clock = clocks.ManualClock()
    owner = make_owner(engine_count, clock)
    running: list[int] = []
    limit = engine_count * RUNNING_PER_ENGINE
    started_s = time.process_time()
    for number in range(REQUESTS):
        clock.advance_ms(STEP_MS)
        owner.admit(_make_admit(number))
        owner.finish_prefill(messages.PrefillDone('h', 'llm', number))
        owner.begin_decode(messages.Decoding('h', 'llm', number))
        running.append(number)
        if len(running) > limit:
            done = running.pop(0)
            owner.finish(messages.Finished('h', 'llm', done, True))
    return (time.process_time() - started_s) * 1e6 / REQUESTS


def _make_admit(number: int) -> messages.Admit:
    return messages.Admit(
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
    """Prints the cost for each size."""
    for size in SIZES:
        print(f'{size} engines: {measure(size):.0f} us a request')
    return 0


if __name__ == '__main__':
    sys.exit(main())
