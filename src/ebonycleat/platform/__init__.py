"""Adapter for the platform on which a mesh runs.

It knows the platform's header names, message formats, settings file and
store, and makes no decisions. All other packages use the types of
``ebonycleat.internal.connection.platform_interfaces`` and know none of the
platform's names.
"""

from ebonycleat.platform.platform_interfaces import create_platform_interfaces
from ebonycleat.platform.settings import (
    SETTINGS_VARIABLE,
    load_platform_settings,
)

__all__ = (
    'SETTINGS_VARIABLE',
    'create_platform_interfaces',
    'load_platform_settings',
)
