"""Behaviour tests of ``teaseldale.command``."""
