"""Keys by which a request is known when it comes again at any host."""

import hashlib

from masticquay_gateway import jobs
from masticquay_routing import harmful_prompts

DIGEST_BYTES = 16
# Tells such a key from the ids that callers give to prompts and their parts.
PROMPT_PREFIX = 'prompt:'


def key_of(job: jobs.Job) -> str:
    """Returns the key of a request: the same path, caller and body."""
    return harmful_prompts.REQUEST_PREFIX + _digest(job)


def prompt_key_of(job: jobs.Job) -> str:
    """Returns the key of a prompt that names no parts of its own."""
    return PROMPT_PREFIX + _digest(job)


def _digest(job: jobs.Job) -> str:
    caller = job.workspace_name or job.call.api_key or ''
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (job.request.target.encode(), caller.encode()):
        digest.update(len(part).to_bytes(4, 'big'))
        digest.update(part)
    digest.update(job.request.body)
    return digest.hexdigest()
