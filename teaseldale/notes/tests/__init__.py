"""Behaviour tests of release notes."""
