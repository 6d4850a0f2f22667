"""Requests whose first token cannot come before their caller gives up.

Their prompts would be read in vain.
"""

from masticquay_routing import queued_requests
from masticquay_routing import slowdowns
from masticquay_routing import usable_engines

# A late answer is worth more than a refusal, so a request counts as unmeetable
# only if this part of the estimated time is too long already.
CERTAIN_SHARE = 0.8
# More than engines have queued when they get a further prompt.
MAX_QUEUE_MS = 600


def may_be_unmeetable(
    request: queued_requests.QueuedRequest, tokens_per_ms: float, now_ms: int
) -> bool:
    """Whether so little time is left that the engines must be looked at.

    :param tokens_per_ms: the speed of prefill engines
    """
    if not request.give_up_at_ms:
        return False
    if request.prefilled or request.resumes_stream:
        return False
    longest_ms = request.prompt_tokens / tokens_per_ms * slowdowns.MAX_SLOWDOWN
    return request.give_up_at_ms - now_ms < longest_ms + MAX_QUEUE_MS


def is_unmeetable(
    request: queued_requests.QueuedRequest,
    engines: usable_engines.UsableEngines,
    tokens_per_ms: float,
    usual_slowdown: float,
    now_ms: int,
) -> bool:
    """Whether no engine can read the prompt before the caller gives up.

    Waiting does not help, as queues don't get shorter faster than time goes.

    :param tokens_per_ms: the speed of prefill engines
    :param usual_slowdown: that of local prefills in the pool
    """
    tokens = request.prompt_tokens
    times_ms = [
        engine.prefill_backlog_ms(tokens_per_ms, now_ms)
        + engine.prefill_ms(tokens, tokens_per_ms, now_ms)
        for engine in engines.prefills
    ]
    times_ms.extend(
        engine.stall_ms(tokens, tokens_per_ms, usual_slowdown, now_ms)
        for engine in engines.decodes
    )
    if not times_ms:
        return False
    remaining_ms = request.give_up_at_ms - now_ms
    return CERTAIN_SHARE * min(times_ms) > remaining_ms
