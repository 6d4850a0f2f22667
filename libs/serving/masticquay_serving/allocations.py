"""How this process's memory allocator returns freed memory."""

import ctypes
import logging

LOG = logging.getLogger(__name__)

# Parameters of ``mallopt``, from glibc's ``malloc.h``.
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
# glibc maps larger blocks one by one and returns each as it is freed. Without
# a fixed value it raises the threshold with each such block, and then keeps
# the memory of bodies.
MMAP_THRESHOLD_BYTES = 128 * 1024
# Each arena keeps some freed memory, and glibc has eight for each core.
MAX_ARENAS = 2


def return_freed_memory() -> bool:
    """Has the allocator return the memory of large blocks once it is freed.

    :returns: whether it could be set; other C libraries need nothing
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        LOG.info('the memory allocator has no options')
        return False
    is_set = mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    return bool(is_set and mallopt(M_ARENA_MAX, MAX_ARENAS))
