"""Unexpected errors that end one call and not all that shares its connection.

An error that leaves a callback of the event loop closes the connection it was
called for, with everything else on it; one that leaves a background task ends
the process. Each place that carries the work of several callers therefore
contains the errors of a single one: the error is logged and counted, and
whoever waits gets a truthful answer.
"""

import collections
import logging
from collections.abc import Callable
from typing import ParamSpec

logger = logging.getLogger('ebonycleat.errors')

contained_error_counts: collections.Counter[str] = collections.Counter()
"""Contained errors of this process by place, for its metrics."""

ActionParameters = ParamSpec('ActionParameters')


def record_contained_error(place: str, error: Exception) -> None:
    """Count an error, and log it unless the place has logged many.

    Of many errors at one place those with the number 1, 2, 4, 8 and so on are
    logged.
    """
    contained_error_counts[place] += 1
    number = contained_error_counts[place]
    if not number & (number - 1):
        logger.error(
            'unexpected error',
            exc_info=error,
            extra={'place': place, 'number': number},
        )


def call_contained(
    place: str,
    action: Callable[ActionParameters, object],
    *args: ActionParameters.args,
    **kwargs: ActionParameters.kwargs,
) -> bool:
    """Call ``action``; return False if it failed, with its error recorded."""
    try:
        action(*args, **kwargs)
    except Exception as error:
        record_contained_error(place, error)
        return False
    return True
