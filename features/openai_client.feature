Feature: The openai client library works with the callers' interface

  Scenario: Streaming and non-streaming completions, and the model list
    Given a fleet of 2 VMs
    When the client streams a completion of 12 tokens through VM 0
    Then the client has received 12 tokens, a finish reason and the usage
    When the client requests a non-streaming completion of 12 tokens from VM 1
    Then the client has received 12 tokens, a finish reason and the usage
    And the client lists the model drafts
    And two retries with one idempotency key get one answer and one bill

  Scenario: Refusals are raised as the client's error classes
    Given a fleet of 1 VMs
    Then an empty budget raises APIStatusError with status 402 and code budget_exhausted
    And a wrong key raises AuthenticationError with status 401 and code unauthorized
    And an unknown model raises NotFoundError with status 404 and code unknown_route
    And wrong tokens raises BadRequestError with status 400 and code bad_request
    And all 4 kinds of refusals were raised and a wrong key gets x-should-retry false

  Scenario: A stream that breaks off raises an error in the client
    Given a fleet of 1 VMs
    When every engine fails each stream after its first token
    Then the client's stream raises APIError after its first tokens
