"""Stand-ins for the platform, model engines and plain services in tests."""

from teaseldale.standins._engine import EngineSize, EngineStandin
from teaseldale.standins._engine_cache import block_hashes
from teaseldale.standins._engine_faults import EngineFaults
from teaseldale.standins._platform import PlatformStandin
from teaseldale.standins._service import ServiceStandin

__all__ = (
    'EngineFaults',
    'EngineSize',
    'EngineStandin',
    'PlatformStandin',
    'ServiceStandin',
    'block_hashes',
)
