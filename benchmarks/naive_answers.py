"""The program with unbounded answer buffers and one object per token.

Run as ``python -m benchmarks.naive_answers`` with the program's arguments.
"""

from benchmarks.answers_vm import install_stubs
from teaseldale.answers import AnswerLog, AnswerPart
from teaseldale.command import main
from teaseldale.web import _protocol

_UNLIMITED_BYTES = 1 << 30


def _append(self: AnswerLog, part: AnswerPart) -> None:
    parts = self.__dict__.setdefault('kept_parts', [])
    parts.extend(
        AnswerPart(offset=part.offset, token_count=1, text=word)
        for word in part.text.split(' ')
    )
    _APPEND(self, part)


_APPEND = AnswerLog.append
AnswerLog.append = _append  # type: ignore[method-assign]
AnswerLog.has_room = property(lambda _: True)  # type: ignore[assignment]
_protocol._WRITE_LIMIT_BYTES = _UNLIMITED_BYTES

if __name__ == '__main__':
    install_stubs()
    main()
