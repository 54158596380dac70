"""Answers while they are produced and read, and as they are stored."""

from teaseldale.answers._answer_log import AnswerLog, AnswerPart
from teaseldale.answers._stored_answer import StoredAnswer

__all__ = ('AnswerLog', 'AnswerPart', 'StoredAnswer')
