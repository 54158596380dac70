"""Router fleet that spends prepaid token budgets for client accounts."""

__all__ = ('VERSION',)

VERSION = '0.1.0'
