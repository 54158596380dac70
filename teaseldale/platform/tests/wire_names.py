"""Headers of the platform, for tests of the code that uses the adapter."""

STAMP = (b'x-server-stamp', b'stamp')
NOT_RUN = (b'x-not-executed', b'1')
LEAVING = (b'server-leaving', b'1')
CALLER_HEADERS = (
    (b'host', b'h'),
    (b'x-request-id', b'r-1'),
    (b'x-deadline-ms', b'5000'),
    (b'authorization', b'Bearer key'),
    (b'x-token-usage', b'1000,500'),
)
REQUEST_ID = b'x-request-id'
RUNNER_ID = b'x-instance-id'


def unbilled_headers(request_id, deadline_ms):
    """Returns the headers of a caller's request without token counts."""
    headers = {
        **dict(CALLER_HEADERS),
        REQUEST_ID: request_id,
        b'x-deadline-ms': b'%d' % deadline_ms,
    }
    headers.pop(b'x-token-usage')
    return tuple(headers.items())


def request_id_of(message):
    """Returns the id of a request that was sent to a runner."""
    return dict(message.headers)[REQUEST_ID]


def limit_header(limit_per_s):
    """Returns the header in which a runner names its limit."""
    return (b'server-limit', b'%g' % limit_per_s)


def pause_header(seconds):
    """Returns the header in which a runner asks for a pause."""
    return (b'retry-after', b'%g' % seconds)


def brittle_header(count):
    """Returns the header that names the rejections a runner survives."""
    return (b'server-brittle', b'%d' % count)


def load_text_header(text):
    """Returns the header of a load report with this text."""
    return (b'x-instance-load', text.encode('latin-1'))


def load_header(running_count, waiting_count, slot_count):
    """Returns the header in which a runner reports its load."""
    load = b'%d,%d,%d' % (running_count, waiting_count, slot_count)
    return (b'x-instance-load', load)


def usage_header(prompt_tokens, output_limit_tokens):
    """Returns the header with the token counts of a request."""
    return (b'x-token-usage', b'%d,%d' % (prompt_tokens, output_limit_tokens))


def prompt_parts_header(part_ids):
    """Returns the header that lists the parts of a prompt."""
    return (
        b'x-prompt-prefix',
        ','.join(f'{part_id}:100' for part_id in part_ids).encode(),
    )


def last_event_id_of(message):
    """Returns the event after which a request resumes a stream, or 0."""
    return int(dict(message.headers).get(b'last-event-id', 0))


def deadline_ms_of(message):
    """Returns the time that a runner gets for a request."""
    return int(dict(message.headers)[b'x-deadline-ms'])
