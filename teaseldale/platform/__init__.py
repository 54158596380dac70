"""Adapter to the platform: settings file, store, row formats and headers."""

from teaseldale.platform._fleet_rows import PlatformFleetFormat
from teaseldale.platform._order_status import PlatformOrderStatus
from teaseldale.platform._settings_file import (
    SETTINGS_VARIABLE,
    read_settings_file,
)
from teaseldale.platform._store import PlatformStore
from teaseldale.platform._wire_format import PlatformWireFormat

__all__ = (
    'SETTINGS_VARIABLE',
    'PlatformFleetFormat',
    'PlatformOrderStatus',
    'PlatformStore',
    'PlatformWireFormat',
    'read_settings_file',
)
