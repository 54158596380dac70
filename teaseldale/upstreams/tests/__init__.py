"""Behaviour tests of the upstream clients and the quarantine."""
