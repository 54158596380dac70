"""Behaviour tests of ``teaseldale.fakes``."""
