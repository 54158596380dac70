"""Behaviour tests of the parent package."""
