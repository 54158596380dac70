"""Behaviour tests of routing."""
