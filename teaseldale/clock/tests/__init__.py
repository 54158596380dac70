"""Behaviour tests of ``teaseldale.clock``."""
