"""Behaviour tests of ``teaseldale.standins``."""
