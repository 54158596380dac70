"""Behaviour tests of ``teaseldale.kernel``."""
