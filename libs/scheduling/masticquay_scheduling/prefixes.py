"""Token counts and prefix block hashes of prompts.

Four bytes of UTF-8 text count as one token. A block is 64 tokens. The hash
of a block covers all blocks before it; engines report the blocks in their
cache with the same hashes.
"""

import xxhash

TOKEN_BYTES = 4
BLOCK_TOKENS = 64
BLOCK_BYTES = TOKEN_BYTES * BLOCK_TOKENS


def count_tokens(prompt: bytes) -> int:
    """Returns how many tokens a prompt counts as, at least one."""
    return max(1, -(-len(prompt) // TOKEN_BYTES))


def hash_blocks(prompt: bytes) -> list[int]:
    """Returns the chained hashes of the prompt's full blocks."""
    hashes = []
    previous = 0
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = prompt[start : start + BLOCK_BYTES]
        previous = xxhash.xxh64_intdigest(block, seed=previous)
        hashes.append(previous)
    return hashes
