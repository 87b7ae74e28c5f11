"""Adapter for the platform on which a mesh runs.

It converts between the platform's header names, message formats, settings
file and store, and the interfaces of
``ebonycleat.internal.connection.platform_interfaces``, and makes no decisions.
All other packages use only these interfaces and contain none of the platform's
names.
"""

from ebonycleat.platform.interface_factory import create_platform_interfaces
from ebonycleat.platform.settings import (
    SETTINGS_VARIABLE,
    load_platform_settings,
)

__all__ = (
    'SETTINGS_VARIABLE',
    'create_platform_interfaces',
    'load_platform_settings',
)
