"""Creates the implementations of the platform interfaces."""

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
    """Create the implementations of the platform interfaces for one node."""
    return PlatformInterfaces(
        store=create_platform_store(settings.store),
        callers=PlatformCallerProtocol(),
        target=PlatformTargetProtocol(),
        control=PlatformControlProtocol(),
        configuration=PlatformConfigurationFormat(),
    )
