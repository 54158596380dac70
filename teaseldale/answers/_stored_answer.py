"""Final outcome of a request as retries are given it."""

import attrs


@attrs.frozen(kw_only=True)
class StoredAnswer:
    """A whole answer with its bill."""

    status: int  # HTTP status
    body: bytes  # text of a completion, or body of a service answer
    content_type: str
    prompt_tokens: int  # 0 for services
    output_tokens: int  # price of the call for services
    finish_reason: str = 'stop'

    @property
    def used_tokens(self) -> int:
        """Tokens to bill."""
        return self.prompt_tokens + self.output_tokens
