"""Refusals of release notes."""

from collections.abc import Iterable

from teaseldale.notes._configuration import ItemKey
from teaseldale.notes._problem import Problem, place_of
from teaseldale.notes._records import NoteRecord
from teaseldale.outcomes import Refusal, RefusalCode, Step

_RETRY_AFTER_MS = 500


def invalid_note(problems: Iterable[Problem]) -> Refusal:
    """Refuses a note as a whole and lists every problem."""
    listed = tuple(problems)
    conflict = any(problem.conflict for problem in listed)
    text = '; '.join(
        f'{problem.place}: {problem.message}' for problem in listed
    )
    return _refusal(
        RefusalCode.CONFLICT if conflict else RefusalCode.BAD_REQUEST,
        f'Nothing was stored. {text}.',
    )


def conflicts_with_pending(other: NoteRecord, key: ItemKey) -> Refusal:
    """Refuses a note that conflicts with a pending one on an item."""
    name = other.note.name
    team = other.note.team
    place = place_of(key)
    return _refusal(
        RefusalCode.CONFLICT,
        f'Nothing was stored. {place}: note {name!r} of team {team!r} is '
        'pending on it; wait for it or have it cancelled.',
    )


def name_taken(other: NoteRecord) -> Refusal:
    """Refuses a note whose name another note has."""
    name = other.note.name
    team = other.note.team
    return _refusal(
        RefusalCode.CONFLICT,
        f'Nothing was stored. name: team {team!r} has used {name!r} for '
        'another note; choose a new name.',
    )


def unknown_note(name: str) -> Refusal:
    """Refuses an operation on a note that does not exist."""
    return _refusal(
        RefusalCode.BAD_REQUEST,
        f'There is no note {name!r}; list the notes to see their names.',
    )


def cannot_cancel(record: NoteRecord) -> Refusal:
    """Refuses to cancel a note that is already in the log."""
    name = record.note.name
    return _refusal(
        RefusalCode.CONFLICT,
        f'Note {name!r} is in revision {record.sequence} and takes effect; '
        'write a note that changes its items back.',
    )


def attempts_exhausted() -> Refusal:
    """Refuses a note after concurrent changes exhausted all attempts."""
    return Refusal(
        code=RefusalCode.CONFLICT,
        message='Nothing was stored. Other notes came first; send it again.',
        not_run=True,
        step=Step.NOTE,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _refusal(code: RefusalCode, message: str) -> Refusal:
    return Refusal(code=code, message=message, not_run=True, step=Step.NOTE)
