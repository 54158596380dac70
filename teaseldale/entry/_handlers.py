"""Request handlers for completions and plain services."""

import abc
import time

import attrs

from teaseldale.entry._answers import AnswerWriter
from teaseldale.entry._arrival import Arrival, request_digest
from teaseldale.entry._background import BackgroundRuns
from teaseldale.entry._chat import AnswerHead, DecodedChat, decode_chat
from teaseldale.entry._completion import CompletionJob, CompletionRunner
from teaseldale.entry._dependencies import RequestDependencies
from teaseldale.entry._refusals import draining, unknown_route
from teaseldale.entry._service_call import ServiceJob, ServiceRunner
from teaseldale.notes import ClientAccount, Route, RouteKind
from teaseldale.outcomes import Refusal
from teaseldale.requests import AttachedAnswer, OpenedRequest
from teaseldale.settings import LimitSettings
from teaseldale.upstreams import ServiceCall
from teaseldale.web import Exchange

_SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
_SEPARATOR = b'/'


@attrs.define(kw_only=True)
class HandlerContext:
    """Dependencies and drain state that all handlers share."""

    parts: RequestDependencies
    limits: LimitSettings
    runs: BackgroundRuns
    writer: AnswerWriter
    is_draining: bool = False  # whether new requests are refused


class BaseHandler(abc.ABC):
    """Handler for one kind of route."""

    def __init__(self, *, context: HandlerContext) -> None:
        """Creates a handler that uses ``context``."""
        self._context = context
        self._parts = context.parts

    @abc.abstractmethod
    async def handle(
        self,
        exchange: Exchange,
        account: ClientAccount,
        arrival: Arrival,
        body: bytes,
    ) -> Refusal | None:
        """Sends the answer, or returns the refusal to send instead.

        Raises ``WrongChatError`` for an invalid body.
        """

    async def _open(
        self,
        arrival: Arrival,
        digest: str,
        *,
        repeatable: bool,
    ) -> OpenedRequest | AttachedAnswer | Refusal:
        """Registers the request.

        During a drain, only requests with an earlier run are answered. Only
        the registry knows of it, so a new request is opened and abandoned.
        """
        if self._context.is_draining and not arrival.has_caller_key:
            return draining()
        opened = await self._parts.registry.open(
            request=arrival.request,
            digest=digest,
            repeatable=repeatable,
        )
        if self._context.is_draining and isinstance(opened, OpenedRequest):
            refusal = draining()
            await self._parts.registry.abandon(opened, not_run=True)
            opened.answer.fail(refusal)
            return refusal
        return opened

    def _route(self, name: str, kind: RouteKind) -> Route | None:
        route = self._parts.configuration.current().routes.get(name)
        return route if route is not None and route.kind is kind else None

    def _deadline_ms(self, arrival: Arrival, route: Route) -> int:
        now_ms = self._parts.clock.monotonic_ms()
        return now_ms + arrival.duration_ms(route)


class CompletionHandler(BaseHandler):
    """Handler for chat completions."""

    def __init__(self, *, context: HandlerContext) -> None:
        """Creates a handler that uses ``context``."""
        super().__init__(context=context)
        self._runner = CompletionRunner(parts=context.parts)

    async def handle(
        self,
        exchange: Exchange,
        account: ClientAccount,
        arrival: Arrival,
        body: bytes,
    ) -> Refusal | None:
        """Starts a run or attaches to an earlier one; sends the answer."""
        chat = decode_chat(body, self._context.limits.output_limit_tokens)
        route = self._route(chat.request.model, RouteKind.COMPLETION)
        if route is None:
            return unknown_route(chat.request.model)
        opened = await self._open(
            arrival,
            request_digest(exchange, chat.canonical_body()),
            repeatable=True,
        )
        if isinstance(opened, Refusal):
            return opened
        if isinstance(opened, OpenedRequest):
            job = self._job(opened, account, arrival, route, chat)
            self._context.runs.start(self._runner.run, job, opened.answer)
        head = AnswerHead(
            answer_id=arrival.request.key,
            model=chat.request.model,
            created_seconds=int(time.time()),
        )
        duration_ms = arrival.duration_ms(route)
        if not chat.request.stream:
            return await self._context.writer.complete(
                exchange,
                opened.answer,
                head,
                duration_ms,
            )
        return await self._context.writer.stream(
            exchange,
            opened.answer,
            chat.request,
            head,
            duration_ms,
        )

    def _job(
        self,
        opened: OpenedRequest,
        account: ClientAccount,
        arrival: Arrival,
        route: Route,
        chat: DecodedChat,
    ) -> CompletionJob:
        engine_body = chat.engine_body(arrival.priority)
        return CompletionJob(
            opened=opened,
            account=account,
            route=route,
            engine_body=engine_body,
            prompt=chat.request.prompt,
            prompt_bound_tokens=len(engine_body),
            output_limit_tokens=chat.request.output_tokens(
                self._context.limits.output_limit_tokens,
            ),
            priority=arrival.priority,
            deadline_ms=self._deadline_ms(arrival, route),
        )


class ServiceHandler(BaseHandler):
    """Handler for calls to plain services."""

    def __init__(self, *, context: HandlerContext) -> None:
        """Creates a handler that uses ``context``."""
        super().__init__(context=context)
        self._runner = ServiceRunner(parts=context.parts)

    async def handle(
        self,
        exchange: Exchange,
        account: ClientAccount,
        arrival: Arrival,
        body: bytes,
    ) -> Refusal | None:
        """Starts a call or attaches to an earlier one; sends the answer."""
        route_name = exchange.path.split('/')[2]
        route = self._route(route_name, RouteKind.SERVICE)
        if route is None:
            return unknown_route(route_name)
        opened = await self._open(
            arrival,
            request_digest(exchange, body),
            repeatable=route.idempotent or exchange.method in _SAFE_METHODS,
        )
        if isinstance(opened, Refusal):
            return opened
        duration_ms = arrival.duration_ms(route)
        if isinstance(opened, OpenedRequest):
            job = ServiceJob(
                opened=opened,
                account=account,
                route=route,
                call=_service_call(exchange, arrival, duration_ms, body),
                priority=arrival.priority,
                deadline_ms=self._deadline_ms(arrival, route),
            )
            self._context.runs.start(self._runner.run, job, opened.answer)
        return await self._context.writer.forward(
            exchange,
            opened.answer,
            arrival.request.key,
            duration_ms,
        )


def _service_call(
    exchange: Exchange,
    arrival: Arrival,
    duration_ms: int,
    body: bytes,
) -> ServiceCall:
    rest = exchange.target.split(_SEPARATOR, 3)[3:]
    path = _SEPARATOR.join((b'', *rest)) or _SEPARATOR
    return ServiceCall(
        request_id=arrival.request.text,
        method=exchange.method,
        path=path.decode('latin-1'),
        headers=exchange.headers(),
        body=body,
        timeout_ms=duration_ms,
    )
