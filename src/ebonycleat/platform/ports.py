"""Builds everything that a mesh node uses of the platform."""

from ebonycleat.internal.connection.platform_interfaces import PlatformInterfaces
from ebonycleat.internal.process.mesh_settings import MeshSettings
from ebonycleat.platform.callers import PlatformCallers
from ebonycleat.platform.configuration import PlatformConfiguration
from ebonycleat.platform.control import PlatformControl
from ebonycleat.platform.store import create_platform_store
from ebonycleat.platform.targets import PlatformTargets


def create_platform_ports(settings: MeshSettings) -> PlatformInterfaces:
    """Build the ports of one node."""
    return PlatformInterfaces(
        store=create_platform_store(settings.store),
        callers=PlatformCallers(),
        target=PlatformTargets(),
        control=PlatformControl(),
        configuration=PlatformConfiguration(),
    )
