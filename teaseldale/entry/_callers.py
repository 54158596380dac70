"""Callers' HTTP interface: authentication, parsing, streaming."""

import hashlib
import math
import time
import uuid
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import msgspec
import xxhash
from anyio.abc import TaskGroup

from teaseldale.answers import AnswerLog, StoredAnswer
from teaseldale.entry._chat import (
    AnswerHead,
    ChatRequest,
    engine_body,
    last_events,
    stream_event,
    usage_of,
    whole_answer,
)
from teaseldale.entry._completion import CompletionJob, CompletionRunner
from teaseldale.entry._parts import RequestParts
from teaseldale.entry._service_call import ServiceJob, ServiceRunner
from teaseldale.kernel import BaseService
from teaseldale.notes import ClientAccount, Route, RouteKind
from teaseldale.outcomes import Refusal, RefusalCode, Step
from teaseldale.requests import OpenedRequest, RequestIdentity
from teaseldale.settings import LimitSettings
from teaseldale.upstreams import ServiceCall
from teaseldale.web import BodyTooLargeError, EmbeddedServer, Exchange

_BEARER = 'Bearer '
_KEY_HEADER = b'idempotency-key'
_PRIORITY_HEADER = b'x-teaseldale-priority'
_DEADLINE_HEADER = b'x-teaseldale-deadline-ms'
_SERVICES_PATH = '/services/'
_STATUS_OK = 200
_MS_PER_SECOND = 1000
_SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
_JobT = TypeVar('_JobT')


class CallersInterface(BaseService):
    """Serves callers on one address."""

    def __init__(
        self,
        *,
        address: str,
        parts: RequestParts,
        limits: LimitSettings,
    ) -> None:
        """Creates the interface; it listens once started."""
        self._parts = parts
        self._limits = limits
        self._completions = CompletionRunner(parts=parts)
        self._service_calls = ServiceRunner(parts=parts)
        self._server = EmbeddedServer(address=address, respond=self._respond)
        self._tasks: TaskGroup | None = None

    @property
    def name(self) -> str:
        """Service name."""
        return 'entry'

    async def start(self, tasks: TaskGroup) -> None:
        """Starts listening."""
        self._tasks = tasks
        await self._server.start(tasks)

    async def drain(self) -> None:
        """Stops accepting and lets open exchanges end."""
        await self._server.stop()

    async def _respond(self, exchange: Exchange) -> None:
        outcome = await self._dispatch(exchange)
        if outcome is not None:
            await self._refuse(exchange, outcome)

    async def _dispatch(self, exchange: Exchange) -> Refusal | None:
        account = self._authenticate(exchange)
        if isinstance(account, Refusal):
            return account
        if exchange.path == '/v1/models':
            await self._list_models(exchange)
            return None
        try:
            body = await exchange.body(self._limits.body_limit_bytes)
        except BodyTooLargeError:
            return _too_large(self._limits.body_limit_bytes)
        if exchange.path == '/v1/chat/completions':
            return await self._complete(exchange, account, body)
        if exchange.path.startswith(_SERVICES_PATH):
            return await self._call_service(exchange, account, body)
        return _unknown_route(exchange.path)

    def _authenticate(self, exchange: Exchange) -> ClientAccount | Refusal:
        header = exchange.header(b'authorization') or ''
        key = header.removeprefix(_BEARER)
        key_hash = hashlib.sha256(key.encode()).hexdigest()
        configuration = self._parts.configuration.current()
        account = configuration.accounts_by_key_hash.get(key_hash)
        if account is None or not header.startswith(_BEARER):
            return _unauthorized()
        return account

    async def _list_models(self, exchange: Exchange) -> None:
        routes = self._parts.configuration.current().routes.values()
        models = [
            {'id': route.name, 'object': 'model', 'owned_by': 'teaseldale'}
            for route in routes
            if route.kind is RouteKind.COMPLETION
        ]
        await exchange.answer_json(
            _STATUS_OK,
            {'object': 'list', 'data': models},
        )

    async def _complete(
        self,
        exchange: Exchange,
        account: ClientAccount,
        body: bytes,
    ) -> Refusal | None:
        try:
            chat = msgspec.json.decode(body, type=ChatRequest)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return _bad_request(str(error))
        route = self._parts.configuration.current().routes.get(chat.model)
        if route is None or route.kind is not RouteKind.COMPLETION:
            return _unknown_route(chat.model)
        request = _identity(exchange, account)
        opened = await self._parts.registry.open(
            request=request,
            digest=_digest(exchange, body),
            repeatable=True,
        )
        if isinstance(opened, Refusal):
            return opened
        if isinstance(opened, OpenedRequest):
            job = CompletionJob(
                opened=opened,
                account=account,
                route=route,
                engine_body=engine_body(
                    body,
                    chat.output_tokens(self._limits.output_limit_tokens),
                ),
                prompt=_prompt_of(chat),
                prompt_bound_tokens=len(body),
                output_limit_tokens=chat.output_tokens(
                    self._limits.output_limit_tokens,
                ),
                priority=_priority_of(exchange, account),
                deadline_ms=self._deadline_of(exchange, route),
            )
            self._in_background(self._completions.run, job)
        head = AnswerHead(
            answer_id=request.key,
            model=chat.model,
            created_seconds=int(time.time()),
        )
        if chat.stream:
            return await self._stream(exchange, opened.answer, chat, head)
        return await self._answer_whole(exchange, opened.answer, head)

    async def _stream(
        self,
        exchange: Exchange,
        answer: AnswerLog,
        chat: ChatRequest,
        head: AnswerHead,
    ) -> Refusal | None:
        await answer.wait_for_start()
        if answer.refusal is not None:
            return answer.refusal
        await exchange.start(
            _STATUS_OK,
            (
                (b'content-type', b'text/event-stream'),
                (b'cache-control', b'no-store'),
                (_KEY_HEADER, head.answer_id.encode()),
            ),
        )
        async for batch in answer.batches():
            await exchange.write(stream_event(head, batch))
            await self._parts.clock.sleep_ms(self._limits.coalesce_ms)
        if answer.stored is None:
            return answer.refusal
        usage = _usage_of_stream(chat, answer.stored)
        await exchange.write(
            last_events(head, answer.stored.finish_reason, usage),
            last=True,
        )
        return None

    async def _answer_whole(
        self,
        exchange: Exchange,
        answer: AnswerLog,
        head: AnswerHead,
    ) -> Refusal | None:
        await answer.wait_for_end()
        stored = answer.stored
        if stored is None:
            return answer.refusal
        await exchange.answer_json(
            _STATUS_OK,
            whole_answer(
                head,
                stored.body.decode(),
                stored.finish_reason,
                usage_of(stored.prompt_tokens, stored.output_tokens),
            ),
            ((_KEY_HEADER, head.answer_id.encode()),),
        )
        return None

    async def _call_service(
        self,
        exchange: Exchange,
        account: ClientAccount,
        body: bytes,
    ) -> Refusal | None:
        service = exchange.path.removeprefix(_SERVICES_PATH)
        route_name, _, _ = service.partition('/')
        route = self._parts.configuration.current().routes.get(route_name)
        if route is None or route.kind is not RouteKind.SERVICE:
            return _unknown_route(route_name)
        request = _identity(exchange, account)
        repeatable = route.idempotent or exchange.method in _SAFE_METHODS
        opened = await self._parts.registry.open(
            request=request,
            digest=_digest(exchange, body),
            repeatable=repeatable,
        )
        if isinstance(opened, Refusal):
            return opened
        if isinstance(opened, OpenedRequest):
            job = ServiceJob(
                opened=opened,
                account=account,
                route=route,
                call=_service_call(exchange, request, route, body),
                priority=_priority_of(exchange, account),
                deadline_ms=self._deadline_of(exchange, route),
            )
            self._in_background(self._service_calls.run, job)
        return await self._answer_service(exchange, opened.answer, request)

    async def _answer_service(
        self,
        exchange: Exchange,
        answer: AnswerLog,
        request: RequestIdentity,
    ) -> Refusal | None:
        await answer.wait_for_end()
        stored = answer.stored
        if stored is None:
            return answer.refusal
        await exchange.answer(
            stored.status,
            stored.body,
            (
                (b'content-type', stored.content_type.encode()),
                (_KEY_HEADER, request.key.encode()),
            ),
        )
        return None

    async def _refuse(self, exchange: Exchange, refusal: Refusal) -> None:
        self._parts.metrics.increment('refusals', refusal.code)
        if exchange.started:
            await exchange.write(_refusal_event(refusal), last=True)
            return
        retry_after: tuple[tuple[bytes, bytes], ...] = ()
        if refusal.retry_after_ms is not None:
            seconds = math.ceil(refusal.retry_after_ms / _MS_PER_SECOND)
            retry_after = ((b'retry-after', str(seconds).encode()),)
        await exchange.answer_json(
            refusal.status,
            {'error': _refusal_document(refusal)},
            retry_after,
        )

    def _deadline_of(self, exchange: Exchange, route: Route) -> int:
        wanted = exchange.header(_DEADLINE_HEADER) or ''
        duration_ms = int(wanted) if wanted.isdecimal() else route.deadline_ms
        return self._parts.clock.monotonic_ms() + duration_ms

    def _in_background(
        self,
        run: Callable[[_JobT], Coroutine[Any, Any, None]],
        job: _JobT,
    ) -> None:
        if self._tasks is None:
            raise RuntimeError('Start the interface before serving from it.')
        self._tasks.start_soon(run, job)


def _identity(exchange: Exchange, account: ClientAccount) -> RequestIdentity:
    return RequestIdentity(
        client_account=account.name,
        key=exchange.header(_KEY_HEADER) or uuid.uuid4().hex,
    )


def _digest(exchange: Exchange, body: bytes) -> str:
    hashed = xxhash.xxh3_128(exchange.method.encode())
    hashed.update(exchange.target)
    hashed.update(body)
    return hashed.hexdigest()


def _prompt_of(chat: ChatRequest) -> str:
    return '\n'.join(str(message.content) for message in chat.messages)


def _priority_of(exchange: Exchange, account: ClientAccount) -> int:
    wanted = exchange.header(_PRIORITY_HEADER) or ''
    if not wanted.isdecimal():
        return account.priority
    return max(account.priority, int(wanted))


def _service_call(
    exchange: Exchange,
    request: RequestIdentity,
    route: Route,
    body: bytes,
) -> ServiceCall:
    prefix = f'{_SERVICES_PATH}{route.name}'.encode()
    target = exchange.target.removeprefix(prefix)
    return ServiceCall(
        request_id=request.text,
        method=exchange.method,
        path=target.decode('latin-1') or '/',
        headers=exchange.headers(),
        body=body,
        timeout_ms=route.deadline_ms,
    )


def _usage_of_stream(
    chat: ChatRequest,
    stored: StoredAnswer,
) -> dict[str, int] | None:
    options = chat.stream_options
    if options is None or not options.include_usage:
        return None
    return usage_of(stored.prompt_tokens, stored.output_tokens)


def _refusal_document(refusal: Refusal) -> dict[str, object]:
    return {
        'code': refusal.code,
        'type': refusal.code,
        'message': refusal.message,
        'not_run': refusal.not_run,
        'retry_after_ms': refusal.retry_after_ms,
        'step': refusal.step,
        'peer': refusal.peer,
    }


def _refusal_event(refusal: Refusal) -> bytes:
    encoded = msgspec.json.encode({'error': _refusal_document(refusal)})
    return b''.join((b'data: ', encoded, b'\n\n'))


def _too_large(limit_bytes: int) -> Refusal:
    return Refusal(
        code=RefusalCode.BODY_TOO_LARGE,
        message=f'The body is longer than {limit_bytes} bytes; shorten it.',
        not_run=True,
        step=Step.PARSE,
    )


def _unauthorized() -> Refusal:
    return Refusal(
        code=RefusalCode.UNAUTHORIZED,
        message='Send the key of a client account as a bearer token.',
        not_run=True,
        step=Step.AUTHENTICATE,
    )


def _unknown_route(name: str) -> Refusal:
    return Refusal(
        code=RefusalCode.UNKNOWN_ROUTE,
        message=f'There is no route {name!r}; GET /v1/models lists them.',
        not_run=True,
        step=Step.PARSE,
    )


def _bad_request(reason: str) -> Refusal:
    return Refusal(
        code=RefusalCode.BAD_REQUEST,
        message=f'The request cannot be read: {reason}.',
        not_run=True,
        step=Step.PARSE,
    )
