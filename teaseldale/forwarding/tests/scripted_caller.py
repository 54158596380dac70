"""In-memory caller: the ASGI side of one exchange."""

import anyio

from teaseldale.web import Exchange
from teaseldale.web._exchange import ABORT_KEY, RECEIVED_KEY


class ScriptedCaller:
    """Sends one request and records the answer."""

    def __init__(
        self,
        *,
        headers,
        body=b'',
        path='/a/b',
        disconnects_after_ms=None,
        never_ends=False,
    ):
        self.status = None
        self.headers = {}
        self.body = b''
        self.is_whole = False
        self.is_closed = False
        self.answered_ms = None
        self._request_body = body
        self._has_sent = False
        self._disconnects_after_ms = disconnects_after_ms
        self._never_ends = never_ends
        self._scope = {
            'method': 'POST',
            'path': path,
            'raw_path': path.encode(),
            'query_string': b'',
            'headers': headers,
            'client': ('10.0.0.1', 1),
            ABORT_KEY: self._abort,
        }

    def note_received(self):
        """Records that a server has read the first bytes of the request."""
        self._scope[RECEIVED_KEY] = anyio.current_time()

    def exchange(self):
        return Exchange(
            scope=self._scope,
            receive=self._receive,
            send=self._send,
        )

    async def _receive(self):
        if not self._has_sent:
            self._has_sent = True
            return {
                'type': 'http.request',
                'body': self._request_body,
                'more_body': self._never_ends,
            }
        if self._disconnects_after_ms is None:
            await anyio.sleep_forever()
        await anyio.sleep(self._disconnects_after_ms / 1000)
        return {'type': 'http.disconnect'}

    async def _send(self, message):
        if message['type'] == 'http.response.start':
            self.status = message['status']
            self.headers = dict(message['headers'])
            return
        self.body += message['body']
        self.answered_ms = round(anyio.current_time() * 1000)
        self.is_whole = not message['more_body']

    def _abort(self):
        self.is_closed = True
