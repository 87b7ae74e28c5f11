"""Interface through which the ingress finds the nodes of a service."""

import abc
from collections.abc import Sequence

from ebonycleat.internal.process.target_stats_table import Member


class ServiceDirectory(abc.ABC):
    """Lists the nodes to which new calls of a service may be sent.

    ``now`` is in seconds on the node's clock.
    """

    @abc.abstractmethod
    def members_of(self, service: str, now: float) -> Sequence[Member]:
        """Return the members of a service that may get new calls."""

    @abc.abstractmethod
    def zones_of(self, service: str, now: float) -> frozenset[str]:
        """Return the zones that have members of a service."""
