"""Logs of answers in progress, stored answers, and their memory limits."""

from teaseldale.answers._answer_log import (
    WINDOW_BYTES,
    AnswerLog,
    AnswerPart,
)
from teaseldale.answers._answer_memory import (
    ANSWER_LIMIT_BYTES,
    AnswerMemory,
    AnswerReservation,
)
from teaseldale.answers._answer_text import AnswerText
from teaseldale.answers._stored_answer import StoredAnswer

__all__ = (
    'ANSWER_LIMIT_BYTES',
    'WINDOW_BYTES',
    'AnswerLog',
    'AnswerMemory',
    'AnswerPart',
    'AnswerReservation',
    'AnswerText',
    'StoredAnswer',
)
