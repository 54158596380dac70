"""Service registry, look-up by name, and ordered start and shutdown."""

from teaseldale.kernel._kernel import Kernel, ServiceMissingError
from teaseldale.kernel._service import BaseService

__all__ = ('BaseService', 'Kernel', 'ServiceMissingError')
