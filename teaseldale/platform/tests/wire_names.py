"""Headers of the platform, for tests of the code that uses the adapter."""

STAMP = (b'x-server-stamp', b'stamp')
NOT_RUN = (b'x-not-executed', b'1')
CALLER_HEADERS = (
    (b'host', b'h'),
    (b'x-request-id', b'r-1'),
    (b'x-deadline-ms', b'5000'),
    (b'authorization', b'Bearer key'),
    (b'x-token-usage', b'1000,500'),
)
