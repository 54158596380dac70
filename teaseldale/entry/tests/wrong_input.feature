Feature: Invalid input is refused, counted and not billed

  Scenario: Each kind of invalid request gets a specific error
    Given a fleet of 1 VMs
    Then each invalid request is refused and counted, and the next one is served
      | input                         | status | code           |
      | a body that is not JSON       | 400    | bad_request    |
      | a body with invalid UTF-8     | 400    | bad_request    |
      | a body nested too deeply      | 400    | bad_request    |
      | a body without messages       | 400    | bad_request    |
      | a body with tools             | 400    | bad_request    |
      | a body with negative tokens   | 400    | bad_request    |
      | an unknown model              | 404    | unknown_route  |
      | an unknown path               | 404    | unknown_route  |
      | an unknown service            | 404    | unknown_route  |
      | a path with dots              | 400    | bad_request    |
      | a path that is not UTF-8      | 400    | bad_request    |
      | no key                        | 401    | unauthorized   |
      | a wrong key                   | 401    | unauthorized   |
      | an oversized body             | 413    | body_too_large |
      | an oversized chunked body     | 413    | body_too_large |
      | two equal content-lengths     | 400    | bad_request    |
      | two content-lengths           | 400    | bad_request    |
      | a length beside chunks        | 400    | bad_request    |
      | a broken chunk length         | 400    | bad_request    |
      | two keys                      | 400    | bad_request    |
      | a head that is too long       | 431    | head_too_large |
      | a line that is not HTTP       | 400    | bad_request    |
      | a deadline that is no number  | 400    | bad_request    |
      | a priority that is too low    | 400    | bad_request    |
      | a request key with spaces     | 400    | bad_request    |
      | a request key that is too long| 400    | bad_request    |
    And only the tokens of the served requests are billed

  Scenario: A body that breaks off reaches no service
    Given a fleet of 1 VMs
    When a caller disconnects in the middle of the body of an order
    Then the service has run no order
    And the VM serves the next request

  Scenario: A prompt that the engine rejects is refused once and not billed
    Given a fleet of 1 VMs
    When the engines reject every prompt with status 400
    Then a completion is refused with status 400 and code bad_request
    And the prompt is not retried and nothing is billed

  Scenario: A stream that fails after its first byte is visibly not whole
    Given a fleet of 1 VMs
    When every engine fails each stream after its first token
    Then a streamed completion ends with an error event and a broken connection

  Scenario: Reuse of an idempotency key is refused only for different content
    Given a fleet of 1 VMs
    Then the same request with other white space is answered by the first run
    And another request with the same key is refused as key_reused
