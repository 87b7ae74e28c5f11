"""Makes the allocator of the C library give back large blocks."""

import contextlib
import ctypes

LARGE_BLOCK_BYTES = 1_048_576
"""Blocks of this size have pages of their own. Otherwise the allocator raises
the size to 32 MB as blocks are freed, and the gaps that bodies leave between
smaller blocks stay with the process."""

KEPT_FREE_BYTES = 4_194_304
"""Free memory kept at the end of the heap; with less, each read would ask the
system for memory and give it back."""

_TRIM_THRESHOLD_OPTION = -1
_MMAP_THRESHOLD_OPTION = -3
"""``M_TRIM_THRESHOLD`` and ``M_MMAP_THRESHOLD`` of ``malloc.h``."""


def give_back_large_blocks() -> None:
    """Set the thresholds of the allocator, where it knows them."""
    with contextlib.suppress(AttributeError, OSError):
        set_option = ctypes.CDLL(None).mallopt
        set_option(_MMAP_THRESHOLD_OPTION, LARGE_BLOCK_BYTES)
        set_option(_TRIM_THRESHOLD_OPTION, KEPT_FREE_BYTES)
