"""Behaviour tests of ``teaseldale.settings``."""
