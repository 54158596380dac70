Feature: Version moves end in time or are taken back

  Scenario: Good versions move, bad ones are taken back, on a seeded workload
    When 40 seeded moves run under the sequential policy
    Then all good ones have moved and all bad ones are taken back
    And at the median 1 percent of a bad move's requests reached it
    And no request reached a bad version later than 5 s after its take-back

  Scenario: A version that is as good as the old one is rarely blamed
    When a good and an old version with 5 percent failures are compared 400 times
    Then the new one is blamed at most 4 times

  Scenario: The checks notice a test without the sequential correction
    When they are compared 400 times without the sequential correction
    Then the new one is blamed more than 4 times

  Scenario: The timed ramp and the fixed threshold do worse
    When 40 seeded moves run under the naive policies
    Then the timed ramp takes no bad one back
    And the fixed threshold misses bad ones or blames good ones

  Scenario: Too little traffic is said, and the setting decides
    When a move with too little traffic reaches its deadline
    Then it is taken back because of too little evidence
    And with finish_without_evidence it is finished

  Scenario: A request keeps its version, and the share is bounded
    Given a fleet with a running move
    When 2000 requests ask for their version twice on two VMs
    Then both VMs give the same answers, and near 1 percent are new

  Scenario: A good version is moved by the whole fleet
    Given a fleet with a running move
    When requests run for 400 seconds
    Then the move is done and the route is at version v2

  Scenario: A version that fails on another route only is still moved
    Given a fleet with a running move
    And the new version fails on another route
    When requests run for 400 seconds
    Then the move is done and the route is at version v2

  Scenario: A bad version is taken back by the whole fleet
    Given a fleet with a running move
    And the new version fails
    When requests run for 200 seconds
    Then the move is taken back with the evidence
    And nothing reached v2 later than 5 s after the take-back
    And requests that have waited may go to v1 and not to v2

  Scenario: A zone that is cut off reaches no bad version
    Given a fleet with a running move
    And the new version fails
    When requests run for 20 seconds
    And the zone port is cut off while requests run for 100 seconds
    Then nothing reached v2 later than 5 s after the take-back
    And in port nothing reached v2 later than 5 s after the cut

  Scenario: The steering VM dies and the move still ends
    Given a fleet with a running move
    When requests run for 100 seconds
    And the steering VM dies
    And requests run for 320 seconds
    Then the move is done and the route is at version v2
    And the engines were ordered to load v2 under more than one number

  Scenario: A VM that was paused past its lease changes nothing
    Given a fleet with a running move
    When requests run for 30 seconds
    And the lease is taken over while the steering VM is about to act
    Then the share stays as the new holder left it

  Scenario: The checks notice steering without the fencing
    Given a fleet with a running move
    And transactions do not check the lease
    When requests run for 30 seconds
    And the lease is taken over while the steering VM is about to act
    Then the share is not as the new holder left it

  Scenario: Hanging requests are evidence before they end
    Given a fleet with a running move
    And the new version hangs
    When requests run for 200 seconds
    Then the move is taken back with the evidence

  Scenario: An operator takes a move back
    Given a fleet with a running move
    When requests run for 20 seconds
    And an operator takes the move back
    Then the move is taken back with the evidence
    And the move stays taken back

  # Guards against a VM that ends because it compares counts of a window to
  # which a replaced VM has left failures and no requests.
  Scenario Outline: A window of <requests> requests and <failures> failures is no evidence
    When a window of <requests> requests and <failures> failures at the new version is compared
    Then the new version is not called worse

    Examples:
      | requests | failures |
      | 0        | 3        |
      | -4       | 2        |
      | -4       | -2       |
