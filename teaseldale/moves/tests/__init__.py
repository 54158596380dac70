"""Behaviour tests of version moves."""
