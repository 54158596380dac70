Feature: Limits on request heads and idle connections

  Scenario Outline: A head that <case> is <result>
    Given limits of 1,000 bytes and 3 s for a head and 15 s for idleness
    When a caller sends a head that <case>
    Then it is <result>

    Examples:
      | case                                   | result                            |
      | has 1,000 bytes                        | served                            |
      | has 1,001 bytes                        | refused with 431 head_too_large   |
      | has one endless header                 | refused with 431 head_too_large   |
      | takes 2.9 s                            | served                            |
      | takes 3.1 s                            | refused with 408 request_too_slow |
      | takes 3.1 s behind an answer under way | served                            |
      | has two hosts                          | refused with 400 bad_request      |

  Scenario Outline: A connection that <case> is <result>
    Given limits of 1,000 bytes and 3 s for a head and 15 s for idleness
    When a caller's connection <case>
    Then it is <result>

    Examples:
      | case                               | result             |
      | sends nothing for 14.9 s           | still open         |
      | sends nothing for 15.1 s           | closed             |
      | is idle for 14.9 s after an answer | still open         |
      | is idle for 15.1 s after an answer | closed             |
      | has its answer under way for 20 s  | still open         |

  Scenario: A changed limit applies to the next request of a connection
    Given limits of 1,000 bytes and 3 s for a head and 15 s for idleness
    When a caller's connection is served once
    And the size limit of heads changes to 500 bytes
    And the same connection sends a head of 600 bytes
    Then it is refused with 431 head_too_large

  # Guards against requests whose time begins only when their task runs.
  Scenario: The time of a request begins with its first bytes
    Given limits of 1,000 bytes and 3 s for a head and 15 s for idleness
    When a caller sends the first half of a head 200 ms before the second
    Then its exchange has waited for at least 200 ms when its task runs
