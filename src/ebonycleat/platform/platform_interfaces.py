"""Builds everything that a mesh node uses of the platform."""

from ebonycleat.internal.connection.platform_interfaces import (
    PlatformInterfaces,
)
from ebonycleat.internal.process.mesh_settings import MeshSettings
from ebonycleat.platform.caller_protocol import PlatformCallerProtocol
from ebonycleat.platform.configuration_format import PlatformConfigurationFormat
from ebonycleat.platform.control_protocol import PlatformControlProtocol
from ebonycleat.platform.store import create_platform_store
from ebonycleat.platform.target_protocol import PlatformTargetProtocol


def create_platform_interfaces(settings: MeshSettings) -> PlatformInterfaces:
    """Build the ports of one node."""
    return PlatformInterfaces(
        store=create_platform_store(settings.store),
        callers=PlatformCallerProtocol(),
        target=PlatformTargetProtocol(),
        control=PlatformControlProtocol(),
        configuration=PlatformConfigurationFormat(),
    )
