Feature: Limits of collected responses

  # Guards against memory that grows with a body that never ends.
  Scenario Outline: A body <framing> that never ends is given up by <reader>
    Given a peer that sends a body <framing> that never ends
    When <reader> reads it
    Then it fails with OversizedBodyError, and the peer sent less than <limit> MB

    Examples:
      | framing          | reader             | limit |
      | in chunks        | the service client | 8     |
      | without a length | the service client | 8     |
      | in chunks        | the load report    | 8     |
      | without a length | the cache report   | 8     |
      | in chunks        | the table client   | 32    |
      | without a length | the table client   | 32    |

  # Guards against a read timeout that each byte of a response restarts.
  Scenario: A report that arrives a byte at a time is given up after 2 s
    Given a peer that sends a byte of its body every 100 ms
    When the load report reads it
    Then it fails with ReadTimeout, after 2 to 4 s
