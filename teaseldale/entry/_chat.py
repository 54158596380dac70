"""Chat-completions messages as callers send and receive them."""

from typing import Any

import attrs
import msgspec

from teaseldale.answers import AnswerPart


@attrs.frozen(kw_only=True)
class StreamOptions:
    """Options of a streamed answer."""

    include_usage: bool = False


@attrs.frozen(kw_only=True)
class ChatMessage:
    """One message of the conversation."""

    role: str
    content: str | list[dict[str, Any]] | None = None


@attrs.frozen(kw_only=True)
class ChatRequest:
    """Fields of the request that the fleet reads; others pass through."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream_options: StreamOptions | None = None

    def output_tokens(self, limit_tokens: int) -> int:
        """Most output tokens that the answer may have."""
        wanted = self.max_completion_tokens or self.max_tokens
        return min(wanted or limit_tokens, limit_tokens)


@attrs.frozen(kw_only=True)
class AnswerHead:
    """What all events of one answer share."""

    answer_id: str
    model: str
    created_seconds: int


def engine_body(body: bytes, output_tokens: int) -> bytes:
    """Returns the caller's body with streaming and the limit set."""
    document = msgspec.json.decode(body)
    document.pop('max_completion_tokens', None)
    document['max_tokens'] = output_tokens
    document['stream'] = True
    document['stream_options'] = {'include_usage': True}
    encoded: bytes = msgspec.json.encode(document)
    return encoded


def stream_event(head: AnswerHead, parts: list[AnswerPart]) -> bytes:
    """Encodes parts as one server-sent event."""
    text = ''.join(part.text for part in parts)
    return _event(head, {'content': text}, None)


def last_events(
    head: AnswerHead,
    finish_reason: str,
    usage: dict[str, int] | None,
) -> bytes:
    """Encodes the end of a stream."""
    encoded = _event(head, {}, finish_reason)
    if usage is not None:
        encoded += _sse({**_envelope(head), 'choices': [], 'usage': usage})
    return b''.join((encoded, b'data: [DONE]\n\n'))


def whole_answer(
    head: AnswerHead,
    text: str,
    finish_reason: str,
    usage: dict[str, int],
) -> dict[str, Any]:
    """Returns the JSON document of an answer that is not streamed."""
    message = {'role': 'assistant', 'content': text}
    choice = {'index': 0, 'message': message, 'finish_reason': finish_reason}
    return {
        **_envelope(head),
        'object': 'chat.completion',
        'choices': [choice],
        'usage': usage,
    }


def usage_of(prompt_tokens: int, output_tokens: int) -> dict[str, int]:
    """Returns the usage document of an answer."""
    return {
        'prompt_tokens': prompt_tokens,
        'completion_tokens': output_tokens,
        'total_tokens': prompt_tokens + output_tokens,
    }


def _event(
    head: AnswerHead,
    delta: dict[str, str],
    finish_reason: str | None,
) -> bytes:
    choice = {'index': 0, 'delta': delta, 'finish_reason': finish_reason}
    return _sse({**_envelope(head), 'choices': [choice]})


def _envelope(head: AnswerHead) -> dict[str, Any]:
    return {
        'id': head.answer_id,
        'object': 'chat.completion.chunk',
        'created': head.created_seconds,
        'model': head.model,
    }


def _sse(document: dict[str, Any]) -> bytes:
    return b''.join((b'data: ', msgspec.json.encode(document), b'\n\n'))
