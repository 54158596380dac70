Feature: What attempts tell about the pace of their runners

  Scenario: The first event of a stream gives the prefill pace
    When 20 streams of 6,000 prompt tokens have their first event after 100 ms
    Then the learned prefill pace is 60 tokens/ms

  Scenario: A plain answer gives the service time
    When 20 plain requests are answered after 20 ms with status 200
    Then the learned plain time is 20 ms

  # Guards against a runner that fails at once and is taken for a fast one.
  Scenario Outline: Answers with status <status> say nothing about the pace
    When 20 plain requests are answered after 1 ms with status <status>
    Then nothing has been learned

    Examples:
      | status |
      | 404    |
      | 500    |
      | 503    |

  # A resumed stream may have been read before.
  Scenario: Resumed streams say nothing about the pace
    When 20 resumed streams of 6,000 prompt tokens have their first event after 1 ms
    Then nothing has been learned

  # Guards against late answers of an incarnation that has ended.
  Scenario: Answers of an earlier incarnation say nothing about the pace
    Given a later incarnation of the runner has answered
    When 20 plain requests are answered after 20 ms with status 200
    Then nothing has been learned

  Scenario: The runner's reports are followed
    When 20 plain requests are answered with the load "1,0,8,300"
    Then the learned slowdown is 3

  Scenario: An unreadable load report is counted once per runner
    When 20 plain requests are answered with the load "1,none"
    Then 1 unreadable load report is counted
    When 20 plain requests are answered with the load "1,0,8,xyz"
    Then 1 unreadable load report is counted

  # Guards against a line for each answer of a runner of changing pace.
  Scenario: Changes of the pace are logged every few seconds at most
    When plain answers take 20 and 100 ms in turns of 2 s for 20 s
    Then between 2 and 4 changes of the pace are logged
