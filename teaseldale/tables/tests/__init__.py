"""Behaviour tests of ``teaseldale.tables``."""
