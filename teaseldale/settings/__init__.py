"""Settings of one VM, loaded from a TOML file and validated."""

from teaseldale.settings._load import (
    SettingsError,
    load_settings,
    read_secret,
)
from teaseldale.settings._settings import (
    LimitSettings,
    LogSettings,
    PlatformSettings,
    Settings,
    VmSettings,
)

__all__ = (
    'LimitSettings',
    'LogSettings',
    'PlatformSettings',
    'Settings',
    'SettingsError',
    'VmSettings',
    'load_settings',
    'read_secret',
)
