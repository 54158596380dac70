"""Behaviour tests of ``teaseldale.operations``."""
