"""Small stand-ins for the platform, model engines and plain services."""

from teaseldale.standins._engine import EngineStandin
from teaseldale.standins._platform import PlatformStandin
from teaseldale.standins._service import ServiceStandin

__all__ = ('EngineStandin', 'PlatformStandin', 'ServiceStandin')
