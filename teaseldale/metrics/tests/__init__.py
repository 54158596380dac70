"""Behaviour tests of ``teaseldale.metrics``."""
