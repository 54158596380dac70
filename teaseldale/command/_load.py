"""Command that runs a bounded load test against a fleet."""

import anyio
import attrs
import msgspec

from teaseldale.command._event_loop import run_in_loop
from teaseldale.command._load_run import LoadPlan, LoadReport, LoadRun
from teaseldale.command._usage import (
    CommandFailedError,
    integer_argument,
    read_file_bytes,
    string_argument,
)

_MAX_STREAMS = 2000
_MAX_SECONDS = 3600
_MAX_REQUESTS = 1_000_000
_MAX_TOKENS = 100_000
_GRACE_SECONDS = 60


def run_load(
    *,
    url: str = 'http://127.0.0.1:7201',
    key_file: str = 'account.key',
    route: str = 'drafts',
    streams: int = 10,
    requests: int = 100,
    seconds: int = 60,
    output_tokens: int = 64,
    json: bool = False,
) -> str:
    """Streams completions from a fleet and reports latency percentiles.

    STREAMS run concurrently until REQUESTS are sent or SECONDS have passed.
    Each requests OUTPUT_TOKENS from ROUTE. URL may be a comma-separated list.
    KEY_FILE contains a client account's key. JSON prints the report as JSON.
    """
    key = (
        read_file_bytes(string_argument(key_file, '--key_file'))
        .decode()
        .strip()
    )
    plan = LoadPlan(
        urls=tuple(string_argument(url, '--url').split(',')),
        keys=(key,),
        route=string_argument(route, '--route'),
        stream_count=integer_argument(
            streams, '--streams', maximum=_MAX_STREAMS
        ),
        request_count=integer_argument(
            requests, '--requests', maximum=_MAX_REQUESTS
        ),
        duration_seconds=integer_argument(
            seconds, '--seconds', maximum=_MAX_SECONDS
        ),
        output_tokens=integer_argument(
            output_tokens,
            '--output_tokens',
            maximum=_MAX_TOKENS,
        ),
    )
    report = run_in_loop(_run, plan)
    if not report.whole_answers:
        raise CommandFailedError(
            f'no request got a complete answer: {report.failures}',
        )
    return (
        msgspec.json.encode(report).decode() if json else _format_report(report)
    )


async def _run(plan: LoadPlan) -> LoadReport:
    run = LoadRun(plan=plan)
    with anyio.move_on_after(plan.duration_seconds + _GRACE_SECONDS):
        await run.run()
    return run.report()


def _format_report(report: LoadReport) -> str:
    fields = attrs.asdict(report)
    width = max(map(len, fields))
    return '\n'.join(
        f'{name.ljust(width)}  {amount}' for name, amount in fields.items()
    )
