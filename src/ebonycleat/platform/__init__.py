"""The users' platform: names, formats and calls, and nothing that decides.

Everything outside this folder works with the types of
``ebonycleat.internal.connection.platform_interfaces`` and knows none of the names
that stand here.
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
