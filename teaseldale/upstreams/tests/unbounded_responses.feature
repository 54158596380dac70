Feature: Responses of runners that never end

  # Guards against memory that grows with the bytes of a response that never
  # ends: the parser accumulates headers and skipped bytes until the timeout.
  Scenario Outline: A response with <part> without end is broken off within <limit> KB
    Given a request "r-1" that was sent to a runner
    When bytes of <part> keep arriving
    Then the connection is closed after at most <limit> KB
    And the response fails because of its <reason>

    Examples: before the head
      | part                       | limit | reason        |
      | a status line              | 128   | head          |
      | a header name              | 128   | head          |
      | a header value             | 128   | head          |
      | headers of one byte        | 128   | headers       |
      | interim answers            | 1152  | skipped bytes |
      | an answer of another request | 1152 | skipped bytes |

    Examples: after the head
      | part                       | limit | reason        |
      | a chunk extension          | 128   | chunk         |
      | a trailer                  | 128   | chunk         |

  Scenario: Bytes after a complete answer close the connection at once
    Given a request "r-1" that was sent to a runner
    When the runner sends a length and the whole body
    And bytes without end arrive while no request is pending
    Then the connection is closed after at most 16 KB

  # Guards against a read timeout that each byte of a response restarts.
  Scenario: A head that arrives a byte at a time does not extend the timeout
    Given a request "r-1" that was sent to a runner
    When the head arrives at one byte every 500 ms
    Then waiting for the head with a timeout of 1,000 ms ends after 1,000 ms

  Scenario: The error of a response without end names the runner and is counted
    Given a listening runner that sends a header value without end
    When the forwarding path reads the answer without end
    Then the error names the step, the runner and the head
    And the failure is counted as an oversized head
    And the runner could send less than 8 MB

  Scenario Outline: 100 responses with <part> without end need less memory than a VM may hold
    Given 100 requests that were sent to runners
    When each runner sends as many bytes of <part> as are accepted
    Then all responses together needed less than 90 MB

    Examples:
      | part                |
      | a header value      |
      | headers of one byte |
      | a trailer           |

  # Guards against memory that grows with an event that never ends.
  Scenario: An event without end fails the stream of an engine
    Given a listening runner that sends an event without end
    When the engine client reads its stream
    Then the error names the runner and the size of the event
    And the runner could send less than 8 MB

  # Guards against a timer of an earlier request that delays the timeout of a
  # later one on the same connection.
  Scenario: A kept connection uses the timeout of its current request
    Given a request "r-1" that was sent to a runner
    When it is answered within a timeout of 10 s, and the next one is not within 1 s
    Then waiting for the next head ends after 1,000 ms

  # Guards against a sound response that is cut by the deadline of an earlier one.
  Scenario: A wait without a timeout does not end by that of an earlier request
    Given a request "r-1" that was sent to a runner
    When it is answered within a timeout of 1 s, and the next one after 5 s
    Then a wait without a timeout for the next head succeeds
