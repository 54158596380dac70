Feature: Answers of runners whose status is none of HTTP

  # Guards against callers that wait until their deadline for the answer after
  # one that counts as interim, and against statuses that cannot be passed on.
  Scenario Outline: An answer with status <status> is <outcome> at once <path>
    Given a runner on loopback that answers with status <status>, and stays connected
    When it is asked <path>
    Then its answer is <outcome> before the time is over

    Examples: no statuses of HTTP
      | path                     | status | outcome   |
      | directly                 | 000    | malformed |
      | directly                 | 099    | malformed |
      | directly                 | 600    | malformed |
      | directly                 | 999    | malformed |
      | directly                 | 20     | malformed |
      | through a relaying VM    | 000    | malformed |
      | through a relaying VM    | 099    | malformed |
      | through a relaying VM    | 600    | malformed |
      | through a relaying VM    | 999    | malformed |
      | through a relaying VM    | 20     | malformed |
      | by the service client    | 000    | malformed |
      | by the service client    | 099    | malformed |
      | by the service client    | 600    | malformed |
      | by the service client    | 999    | malformed |
      | by the engine client     | 000    | malformed |
      | by the engine client     | 099    | malformed |
      | by the engine client     | 600    | malformed |
      | by the engine client     | 999    | malformed |

    Examples: statuses of HTTP
      | path                     | status | outcome   |
      | directly                 | 200    | whole     |
      | directly                 | 599    | whole     |
      | through a relaying VM    | 200    | whole     |
      | through a relaying VM    | 599    | whole     |
      | by the service client    | 200    | whole     |
      | by the service client    | 599    | whole     |

  # Guards against a relaying VM that applies what such an answer announces.
  Scenario Outline: A relaying VM applies the head of <heads> answer with status <status>
    Given a runner on loopback that answers with status <status>, and stays connected
    When it is asked through a relaying VM
    Then the relaying VM applies the head of <heads> answer

    Examples:
      | status | heads |
      | 000    | no    |
      | 099    | no    |
      | 600    | no    |
      | 999    | no    |
      | 200    | one   |
