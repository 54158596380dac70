Feature: Bounds on what clients of a server occupy together

  # Guards against silent bodies that keep out others until their deadline, and
  # against requests that are cut off although they may run.
  Scenario Outline: When room is needed, a request whose body <state> is <outcome>
    Given a server that may hold 100,000 bytes for its clients
    When a request of 50,000 bytes is open whose body <state>
    And another request of 50,000 bytes arrives after 1.5 s
    Then the first request is <outcome>
    And the second request is <second>

    Examples:
      | state                      | outcome      | second  |
      | stops just short           | refused: 408 | served  |
      | goes on byte by byte       | refused: 408 | served  |
      | goes on at 20,000 bytes/s  | open         | refused |
      | is complete                | open         | refused |

  # Guards against a bound that a well-behaved client reaches.
  Scenario: A single request with as many headers as its head may have is served
    Given a server that may hold 2,000,000 bytes for its clients
    When a request with 2,700 headers arrives
    Then it is served and no bytes but those of its connection are held

  # Guards against requests that are queued without a bound.
  Scenario: A client that sends more requests than may wait is cut off
    Given a server that may hold 2,000,000 bytes for its clients
    When 40 requests arrive at once behind one that is being answered
    Then the connection is closed

  # Guards against connections that stay open although they send no request.
  Scenario: Empty lines do not keep an idle connection open
    Given a server that may hold 2,000,000 bytes for its clients
    When an idle client sends an empty line and nothing more for 15.1 s
    Then the connection is closed

  # Guards against callers that lose their connection to clients without one.
  Scenario: The oldest connection without a request makes way for a new one
    Given a server that may have 3 connections
    When one connection is served, two stay silent and a fourth is opened
    Then the first silent one is closed and the others are open
