"""Operators' interface: health, metrics, notes and budgets."""

from teaseldale.operations._operators import OperatorsInterface, OperatorsParts

__all__ = ('OperatorsInterface', 'OperatorsParts')
