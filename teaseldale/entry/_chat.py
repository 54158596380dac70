"""Encoding and decoding of the chat-completions API."""

from typing import Annotated, Any

import attrs
import msgspec

from teaseldale.answers import AnswerPart

_NOT_FORWARDED = (
    'audio',
    'function_call',
    'functions',
    'logprobs',
    'modalities',
    'tool_choice',
    'tools',
    'top_logprobs',
)
_NO_TEXT = b'""'
_AtLeastOne = Annotated[int, msgspec.Meta(ge=1)]

_ExactlyOne = Annotated[int, msgspec.Meta(ge=1, le=1)]


class WrongChatError(ValueError):
    """The body is no valid or supported chat-completion request."""


@attrs.frozen(kw_only=True)
class StreamOptions:
    """Value of the ``stream_options`` field."""

    include_usage: bool = False


@attrs.frozen(kw_only=True)
class ChatMessage:
    """One message of the conversation."""

    role: str
    content: str | list[dict[str, Any]] | None = None


@attrs.frozen(kw_only=True)
class ChatRequest:
    """Fields that the fleet reads; other fields are forwarded unchanged."""

    model: str
    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    stream: bool = False
    n: _ExactlyOne | None = None  # noqa: WPS111
    max_tokens: _AtLeastOne | None = None
    max_completion_tokens: _AtLeastOne | None = None
    stream_options: StreamOptions | None = None

    def output_tokens(self, limit_tokens: int) -> int:
        """Returns the maximum number of output tokens."""
        requested = self.max_completion_tokens or self.max_tokens
        return min(requested or limit_tokens, limit_tokens)

    @property
    def prompt(self) -> str:
        """Concatenated text of all messages."""
        return '\n'.join(str(message.content) for message in self.messages)


@attrs.frozen(kw_only=True)
class DecodedChat:
    """A decoded request and the body to send to an engine."""

    request: ChatRequest
    document: dict[str, Any]  # engine's body without ``priority``

    def engine_body(self, priority: int) -> bytes:
        """Encodes the body to send to an engine."""
        return msgspec.json.encode({**self.document, 'priority': priority})

    def canonical_body(self) -> bytes:
        """Encodes the content that decides whether two requests are equal.

        The order of fields, white space and whether the answer is streamed
        make no difference.
        """
        return msgspec.json.encode(self.document, order='sorted')


@attrs.frozen(kw_only=True)
class AnswerHead:
    """Fields that all events of one answer share."""

    answer_id: str
    model: str
    created_seconds: int


def decode_chat(body: bytes, output_limit_tokens: int) -> DecodedChat:
    """Decodes and validates a body; raises ``WrongChatError``."""
    try:
        document = msgspec.json.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise WrongChatError(str(error)) from error
    try:
        request = msgspec.convert(document, ChatRequest)
    except msgspec.ValidationError as error:
        raise WrongChatError(str(error)) from error
    for name in _NOT_FORWARDED:
        if document.pop(name, None):
            raise WrongChatError(f'the field `{name}` is not supported')
    document.pop('max_completion_tokens', None)
    document['max_tokens'] = request.output_tokens(output_limit_tokens)
    document['stream'] = True
    document['stream_options'] = {'include_usage': True}
    return DecodedChat(request=request, document=document)


class EventEncoder:
    """Encoder of an answer's events, which differ only in their text."""

    def __init__(self, *, head: AnswerHead) -> None:
        """Encodes the constant prefix and suffix of the events."""
        event = _event(head, {'content': ''}, None)
        prefix, suffix = event.split(_NO_TEXT, 1)
        self._prefix = prefix
        self._suffix = suffix
        self._encoder = msgspec.json.Encoder()

    def encode(self, parts: list[AnswerPart]) -> bytes:
        """Encodes the text of all parts as one server-sent event."""
        text = self._encoder.encode(''.join([part.text for part in parts]))
        return b''.join((self._prefix, text, self._suffix))


def final_events(
    head: AnswerHead,
    finish_reason: str,
    usage: dict[str, int] | None,
) -> bytes:
    """Encodes the final events of a stream."""
    encoded = _event(head, {}, finish_reason)
    if usage is not None:
        encoded += _sse({**_envelope(head), 'choices': [], 'usage': usage})
    return b''.join((encoded, b'data: [DONE]\n\n'))


def completion_document(
    head: AnswerHead,
    text: str,
    finish_reason: str,
    usage: dict[str, int],
) -> dict[str, Any]:
    """Returns the JSON document of an unstreamed answer."""
    message = {'role': 'assistant', 'content': text}
    choice = {'index': 0, 'message': message, 'finish_reason': finish_reason}
    return {
        **_envelope(head),
        'object': 'chat.completion',
        'choices': [choice],
        'usage': usage,
    }


def usage_of(prompt_tokens: int, output_tokens: int) -> dict[str, int]:
    """Returns the ``usage`` object of an answer."""
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
