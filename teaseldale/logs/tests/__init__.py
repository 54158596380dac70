"""Behaviour tests of ``teaseldale.logs``."""
