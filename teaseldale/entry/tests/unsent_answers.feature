Feature: Unsent answers of the own interface in the budget of held bytes

  # Guards against answers that are bounded one by one only, so that many slow
  # readers together take the memory of the VM.
  Scenario: A complete answer counts until it has been sent
    Given a budget of 100000 bytes for unsent answers
    When an answer of 40000 bytes is written to a caller that reads nothing
    Then 40000 bytes are held
    When the caller has read the answer
    Then 0 bytes are held

  Scenario: An answer that is sent at once does not count
    Given a budget of 100000 bytes for unsent answers
    When an answer of 40000 bytes is written to a caller that reads at once
    Then 0 bytes are held

  # Guards against a pipelined request that makes its answer before the caller
  # has read the earlier ones.
  Scenario: A request waits for the earlier answers of its connection
    Given a budget of 100000 bytes for unsent answers
    When an answer of 40000 bytes is written to a caller that reads nothing
    And the caller sends a further request
    Then the request is not admitted
    When the caller has read the answer
    Then the request is admitted

  Scenario: A request is refused while unsent answers fill the budget
    Given a budget of 100000 bytes for unsent answers
    When an answer of 110000 bytes is written to a caller that reads nothing
    Then a request of another caller is refused for want of room

  # Guards against slow readers that keep the room of those that make progress.
  Scenario: A caller that reads nothing is evicted for another's request
    Given a budget of 100000 bytes for unsent answers
    And callers that read nothing are evicted when bytes are short
    When an answer of 110000 bytes is written to a caller that reads nothing
    Then a request of another caller is admitted
    And 0 bytes are held

  # Guards against a 503, which says "not run", for a request that has run.
  Scenario: The answer of a request that has run is sent beyond the budget
    Given a budget of 100000 bytes for unsent answers
    When an answer of 90000 bytes is written to a caller that reads nothing
    And an answer of 40000 bytes is written to a caller that reads nothing
    Then 130000 bytes are held
