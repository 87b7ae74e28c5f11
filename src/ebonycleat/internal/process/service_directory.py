"""Who serves what, as the ingress needs it."""

import abc
from collections.abc import Sequence

from ebonycleat.internal.process.target_stats_table import Member


class ServiceDirectory(abc.ABC):
    """Members of services that may get new work."""

    @abc.abstractmethod
    def members_of(self, service: str, now: float) -> Sequence[Member]:
        """Members of a service that are up or draining."""

    @abc.abstractmethod
    def zones_of(self, service: str, now: float) -> frozenset[str]:
        """Zones that have members of the service."""
