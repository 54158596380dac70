Feature: Learned pace of runners

  Scenario: The pace of an unknown runner has typical values
    Then nothing is known of runner "i-0"

  Scenario: The time to the first event gives the prefill pace
    When runner "i-0" reads prompts at 32 tokens/ms for 2 s
    Then its prefill pace is within 0.05 of 32 tokens/ms
    And the first event after 12,000 queued and 4,000 own tokens is expected after 500 ms
    And nothing is known of runner "i-1"

  Scenario Outline: The pace follows a lasting change by a factor of 3
    When runner "i-0" reads prompts at 60 tokens/ms for 10 s
    And runner "i-0" reads prompts at <pace> tokens/ms for 3 s
    Then its prefill pace is within 0.1 of <pace> tokens/ms

    Examples:
      | pace |
      | 20   |
      | 180  |

  Scenario Outline: <fault> does not spoil the pace
    When runner "i-0" reads prompts at 60 tokens/ms for 10 s
    And <fault> happens at runner "i-0"
    Then its prefill pace is within 0.25 of 60 tokens/ms
    When runner "i-0" reads prompts at 60 tokens/ms for 3 s
    Then its prefill pace is within 0.05 of 60 tokens/ms

    Examples:
      | fault                          |
      | an outlier of 100 times        |
      | a stall of 2 s for 10 requests |
      | a false report of a slowdown   |
      | an impossible report           |

  Scenario: False reports that go on are not followed
    When runner "i-0" reads prompts at 60 tokens/ms for 10 s with random reports
    Then its prefill pace is within 0.15 of 60 tokens/ms

  Scenario: True reports are followed before the next answer
    When runner "i-0" reads prompts at 60 tokens/ms for 10 s with true reports
    And runner "i-0" reports a slowdown of 3 for 1 s without an answer
    Then its prefill pace is within 0.1 of 20 tokens/ms

  Scenario: A restarted runner is unknown
    Given incarnation 1 of runner "i-0"
    When runner "i-0" reads prompts at 60 tokens/ms for 2 s
    And incarnation 2 of runner "i-0" starts
    Then nothing is known of runner "i-0"
    And figures of incarnation 1 of runner "i-0" are not current

  Scenario: Runners that have gone are forgotten
    When runner "i-0" reads prompts at 60 tokens/ms for 2 s
    And only runner "i-1" is kept
    Then nothing is known of runner "i-0"

  Scenario: Short prompts say nothing about the prefill pace
    When runner "i-0" gets 20 prompts of 50 tokens that take 30 ms
    Then nothing is known of runner "i-0"

  Scenario Outline: The knee is where latency begins to grow with the load
    When runner "i-0" of knee <knee> has 1 to 16 plain requests in work for 20 s
    Then its knee is within 0.3 of <knee>
    And its plain answers take 20 ms within 0.2

    Examples:
      | knee |
      | 4    |
      | 8    |

  Scenario: A runner that no load has slowed down has no knee
    When runner "i-0" of knee 100 has 1 to 16 plain requests in work for 20 s
    Then its knee is infinite

  Scenario: A slower runner keeps its knee
    When runner "i-0" of knee 8 has 1 to 16 plain requests in work for 20 s
    And its plain requests take 60 ms for 10 s
    Then its knee is within 0.3 of 8
    And its plain answers take 60 ms within 0.15

  Scenario: Equal runners count as equal in spite of noise
    When runners "i-0" and "i-1" read prompts at 60 tokens/ms for 10 s with 0.3 noise
    Then the relative durations of both are 1

  Scenario: A runner that gets no requests is taken for average again
    When runners "i-0" and "i-1" read prompts at 10 and 60 tokens/ms for 5 s
    Then the relative duration of "i-0" is over 1.5
    When 60 s pass
    Then the relative duration of "i-0" is below 1.1
