Feature: Requests that a VM has taken when its process is stopped

  # Guards against requests that are closed without an answer at the end of the
  # grace period, although no runner has got them or nobody says that one has.
  Scenario Outline: A "<kind>" request <state> as its VM ends gets <status>
    Given 2 runners and a "<kind>" route
    When its VM stops while a request <state>
    Then the request gets <status>, which says "<not_run>"
    And <count> runners have received it

    Examples:
      | kind      | state                      | status | not_run         | count |
      | once      | waits for its body         | 503    | "not_run":true  | 0     |
      | once      | waits for tokens           | 503    | "not_run":true  | 0     |
      | once      | runs at a silent runner    | 502    | "not_run":false | 1     |
      | safe      | runs at a silent runner    | 502    | "not_run":false | 1     |
      | resumable | runs at a silent runner    | 502    | "not_run":false | 1     |
      | safe      | breaks off 200 ms before   | 502    | "not_run":false | 1     |
      | once      | is rejected 200 ms before  | 503    | "not_run":true  | 1     |
      | safe      | is rejected 4000 ms before | 200    | the body        | 2     |

  # Guards against a runner that works for a caller whose connection is gone.
  Scenario: A runner gets no more time than its VM has
    Given 2 runners and a "safe" route
    When its VM stops while a request is rejected 4000 ms before
    Then the last runner got at most 4000 ms
