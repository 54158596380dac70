"""Run of the engine stand-in and the encoding of its events."""

import attrs
import msgspec
import xxhash

_VOCABULARY = ('sack', 'snow', 'jute', 'roof', 'hook', 'bale', 'crew', 'loom')


@attrs.define(kw_only=True, eq=False)
class EngineRun:
    """Request that the engine stand-in is running."""

    request_id: str
    offset: int  # tokens that the client has received before
    prompt: str
    priority: int  # 0 is the highest
    output_tokens: int
    cancelled: bool = False
    silenced: bool = False  # no more data is sent to the client

    def generate_text(self, offset: int, token_count: int) -> str:
        """Returns the tokens from ``offset``; all engines generate the same."""
        return ''.join(
            self._word(offset + index) for index in range(token_count)
        )

    def _word(self, offset: int) -> str:
        seed = f'{self.request_id}{self.prompt}{offset}'
        index = xxhash.xxh3_64_intdigest(seed.encode()) % len(_VOCABULARY)
        return f'{_VOCABULARY[index]} '


def token_event(
    run: EngineRun,
    offset: int,
    token_count: int,
    *,
    wrong_answer: bool,
) -> bytes:
    """Encodes an event with ``token_count`` tokens from ``offset``."""
    request_id = f'{run.request_id}-other' if wrong_answer else run.request_id
    delta = {'content': run.generate_text(offset, token_count)}
    return _encode_event(
        {
            'id': request_id,
            'offset': offset,
            'token_count': token_count,
            'choices': [{'delta': delta}],
        }
    )


def last_events(run: EngineRun) -> bytes:
    """Encodes the event with finish reason and usage, and the end marker."""
    usage = {
        'prompt_tokens': len(run.prompt.split()),
        'completion_tokens': run.output_tokens,
    }
    last = _encode_event(
        {
            'id': run.request_id,
            'choices': [{'delta': {}, 'finish_reason': 'stop'}],
            'usage': usage,
        }
    )
    return b''.join((last, b'data: [DONE]\n\n'))


def _encode_event(document: dict[str, object]) -> bytes:
    return b''.join((b'data: ', msgspec.json.encode(document), b'\n\n'))
