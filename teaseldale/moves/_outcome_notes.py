"""Release notes that complete a move or roll it back."""

import attrs

from teaseldale.notes import (
    Configuration,
    ItemKind,
    ItemLists,
    ItemWithdrawal,
    ReleaseNote,
    VersionMove,
)


@attrs.frozen(kw_only=True)
class MoveNames:
    """Names derived from one run of a move."""

    move: str
    sequence: int  # of the note that started the move

    @property
    def key(self) -> str:
        """Unique key of the run."""
        return f'{self.move}-{self.sequence}'

    @property
    def done(self) -> str:
        """Name of the note that completes the move."""
        return f'done-{self.key}'

    @property
    def take_back(self) -> str:
        """Name of the note that rolls the move back."""
        return f'takeback-{self.key}'


def done_note(
    names: MoveNames,
    team: str,
    move: VersionMove,
    configuration: Configuration,
) -> ReleaseNote:
    """Returns a note that activates the new version and ends the move."""
    route = attrs.evolve(
        configuration.routes[move.route],
        version=move.to_version,
    )
    return ReleaseNote(
        name=names.done,
        team=team,
        written_against_revision=configuration.revision,
        changes=ItemLists(routes=(route,)),
        withdrawals=(_withdrawal(move, configuration.revision),),
    )


def take_back_note(
    names: MoveNames,
    team: str,
    move: VersionMove,
    revision: int,
) -> ReleaseNote:
    """Returns a note that ends the move and keeps the old version."""
    return ReleaseNote(
        name=names.take_back,
        team=team,
        written_against_revision=revision,
        withdrawals=(_withdrawal(move, revision),),
    )


def _withdrawal(move: VersionMove, revision: int) -> ItemWithdrawal:
    return ItemWithdrawal(
        kind=ItemKind.MOVE,
        name=move.name,
        written_against_revision=revision,
    )
