"""A sound bound on what a workspace received against its rate and burst."""

import numpy

from masticquay_bench import calls
from masticquay_bench import evidence


class Excess:
    """A window in which a workspace received too much."""

    __slots__ = ('tokens', 'window_ms', 'allowed_tokens')

    def __init__(self, tokens: int, window_ms: float, allowed_tokens: float):
        self.tokens = tokens
        self.window_ms = window_ms
        self.allowed_tokens = allowed_tokens


def find_excess(
    recorded: list[calls.Call], rate: evidence.Rate
) -> Excess | None:
    """Returns the worst window above rate and burst, None when there is none.

    A call is charged at some moment between its begin and its end, so the
    calls that lie wholly within a window were charged within it. Only tokens
    that the caller received are counted.
    """
    used = [
        call
        for call in recorded
        if call.workspace == rate.workspace
        and call.kind == calls.KIND_COMPLETION
        and call.output_tokens
    ]
    if not used:
        return None
    used.sort(key=lambda call: call.end_ms)
    sent = numpy.array([call.sent_ms for call in used])
    ends = numpy.array([call.end_ms for call in used])
    tokens = numpy.array(
        [call.prompt_tokens + call.output_tokens for call in used]
    )
    worst: Excess | None = None
    for begin_ms in sent:
        inside = numpy.cumsum(numpy.where(sent >= begin_ms, tokens, 0))
        windows = numpy.maximum(0, ends - begin_ms)
        allowed = rate.burst_tokens + rate.rate_tokens_per_s * windows / 1000
        over = inside - allowed
        at = int(numpy.argmax(over))
        if over[at] > 0 and (
            worst is None or over[at] > worst.tokens - worst.allowed_tokens
        ):
            worst = Excess(
                int(inside[at]), float(windows[at]), float(allowed[at])
            )
    return worst
