"""HTTP serving shared by callers', operators' and stand-ins' interfaces."""

from teaseldale.web._exchange import BodyTooLargeError, Exchange
from teaseldale.web._server import EmbeddedServer

__all__ = ('BodyTooLargeError', 'EmbeddedServer', 'Exchange')
