"""Command that runs a bounded load test against a fleet."""

import anyio
import attrs
import msgspec

from teaseldale.command._event_loop import run_in_loop
from teaseldale.command._load_run import LoadPlan, LoadReport, LoadRun
from teaseldale.command._usage import (
    CommandFailedError,
    bytes_of_file,
    count_of,
    text_of,
)

_MOST_STREAMS = 2000
_MOST_SECONDS = 3600
_MOST_REQUESTS = 1_000_000
_MOST_TOKENS = 100_000
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
    key = bytes_of_file(text_of(key_file, '--key_file')).decode().strip()
    plan = LoadPlan(
        urls=tuple(text_of(url, '--url').split(',')),
        keys=(key,),
        route=text_of(route, '--route'),
        stream_count=count_of(streams, '--streams', most=_MOST_STREAMS),
        request_count=count_of(requests, '--requests', most=_MOST_REQUESTS),
        duration_seconds=count_of(seconds, '--seconds', most=_MOST_SECONDS),
        output_tokens=count_of(
            output_tokens,
            '--output_tokens',
            most=_MOST_TOKENS,
        ),
    )
    report = run_in_loop(_run, plan)
    if not report.whole_answers:
        raise CommandFailedError(
            f'no request got a complete answer: {report.failures}',
        )
    return msgspec.json.encode(report).decode() if json else _text_of(report)


async def _run(plan: LoadPlan) -> LoadReport:
    run = LoadRun(plan=plan)
    with anyio.move_on_after(plan.duration_seconds + _GRACE_SECONDS):
        await run.run()
    return run.report()


def _text_of(report: LoadReport) -> str:
    fields = attrs.asdict(report)
    width = max(map(len, fields))
    return '\n'.join(
        f'{name.ljust(width)}  {amount}' for name, amount in fields.items()
    )
