"""Behaviour tests of the package above."""
