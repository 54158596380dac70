"""Requests for runners."""

import attrs

from teaseldale.upstreams._wire_headers import WireHeaders

_BODILESS_METHODS = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))


@attrs.frozen(kw_only=True)
class RunnerMessage:
    """HTTP request for a runner."""

    method: str
    target: bytes  # raw path with the query
    headers: WireHeaders  # without content-length
    body: bytes
    # Names the request in its answer; empty if answers name none.
    request_id: str = ''

    def encode_head(self) -> bytes:
        """Returns the encoded request without its body.

        Raises ``ValueError`` if a header contains a line break.
        """
        lines = [b'%s %s HTTP/1.1' % (self.method.encode(), self.target)]
        lines.extend(b'%s: %s' % header for header in self.headers)
        if self.body or self.method not in _BODILESS_METHODS:
            lines.append(b'content-length: %d' % len(self.body))
        if any(b'\r' in line or b'\n' in line for line in lines):
            raise ValueError('header contains a line break')
        return b'\r\n'.join((*lines, b'', b''))
