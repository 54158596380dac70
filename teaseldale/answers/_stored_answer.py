"""Final outcome of a request, as it is replayed to retries."""

import attrs


@attrs.frozen(kw_only=True)
class StoredAnswer:
    """A complete answer with the token counts that are billed."""

    status: int  # HTTP status
    body: bytes  # completion text or body of a service response
    content_type: str
    prompt_tokens: int  # 0 for services
    output_tokens: int  # price of the call for services
    finish_reason: str = 'stop'

    @property
    def used_tokens(self) -> int:
        """Tokens to bill."""
        return self.prompt_tokens + self.output_tokens
