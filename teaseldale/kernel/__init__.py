"""Micro-kernel: services that find each other by name."""

from teaseldale.kernel._kernel import Kernel, ServiceMissingError
from teaseldale.kernel._service import BaseService

__all__ = ('BaseService', 'Kernel', 'ServiceMissingError')
