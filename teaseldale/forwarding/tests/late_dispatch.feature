Feature: Requests are checked again right before they are sent

  # Guards against requests that reach a runner after their deadline, because a
  # busy event loop delivers the deadline only after the request was written.
  Scenario Outline: A request whose time is over is not sent when the loop is busy while <step>
    Given one VM whose loop is busy for 1500 ms while <step>
    When a caller sends a "<kind>" request with a deadline of 1000 ms
    Then no runner receives the request
    And the caller gets 504, and that the request has not run

    Examples:
      | step                    | kind |
      | the body is read        | safe |
      | the body is read        | once |
      | a connection is opened  | safe |
      | a connection is opened  | once |

  # Guards against requests that are sent to a runner selected before it began to
  # leave, because the request waited after its selection.
  Scenario Outline: A runner that <change> while <wait> gets no request
    Given one VM that waits for 80 ms while <wait>
    When a caller sends a "<kind>" request and the selected runner <change> meanwhile
    Then the runner that <change> receives nothing
    And the caller is answered by another runner

    Examples:
      | change               | wait                   | kind |
      | leaves by its entry  | a connection is opened | safe |
      | leaves by its entry  | a connection is opened | once |
      | leaves by an answer  | a connection is opened | once |
      | is removed           | a connection is opened | once |
      | is replaced          | a connection is opened | once |
      | leaves by its entry  | a permit is awaited    | safe |
      | is removed           | a permit is awaited    | safe |
      | is in an evacuated zone | a connection is opened | safe |
      | is in an evacuated zone | a connection is opened | once |
      | is in an evacuated zone | a permit is awaited    | once |

  # Guards against a runner that works on a request longer than its caller waits,
  # because time before the request was sent is left out.
  Scenario: A runner gets the time that is left when its connection is open
    Given one VM that waits for 400 ms while a connection is opened
    When a caller sends a "safe" request with a deadline of 1000 ms
    Then the runner that receives it gets at most 600 ms

  # Guards against deadlines that begin only when the task of a request runs, which
  # a busy loop starts long after the request was received.
  Scenario: The time between a request's receipt and its task counts
    Given one VM that starts the task of a request 700 ms after its receipt
    When a caller sends a "safe" request with a deadline of 1000 ms
    Then the runner that receives it gets at most 300 ms
