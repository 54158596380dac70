"""Behaviour tests of ``teaseldale.outcomes``."""
