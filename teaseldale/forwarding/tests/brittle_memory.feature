Feature: Brittle runners that run fewer requests than they have slots

  # Guards against grants by slots alone: where memory binds first, every start
  # beyond it waits at the runner or is rejected.
  Scenario Outline: <runners> runners with <memory>, of which VMs know <known>, stand <load> times their room
    Given 8 VMs before <runners> runners with <memory>, of which they know <known>
    And <queue> requests may wait at a runner that tolerates <tolerated>
    And the VMs send <load> times what the runners can run
    When the runners become brittle
    Then no runner ends under the requests that it rejects
    And at least <share> in 100 of what the runners can run is served

    Examples:
      | runners | memory                                | known           | queue | tolerated | load | share |
      | 3       | memory for all of their slots         | the load        | 0     | 5         | 1.3  | 90    |
      | 9       | memory for half of their slots        | the load        | 1     | 5         | 1.3  | 90    |
      | 3       | memory for half of their slots        | the tokens      | 1     | 5         | 1.3  | 90    |
      | 3       | memory for half of their slots        | load and tokens | 0     | 2         | 3    | 90    |
      | 3       | half of the memory that is configured | load and tokens | 1     | 2         | 1.3  | 90    |
      | 3       | memory for requests of 1 to 12 tokens | load and tokens | 1     | 5         | 1.3  | 80    |

  # Guards against the same where no answer says what binds, so that rejections
  # are the first sign.
  Scenario Outline: 5 runners with <memory>, of which VMs know <known>, tolerate <tolerated> rejections
    Given 8 VMs before 5 runners with <memory>, of which they know <known>
    And 1 requests may wait at a runner that tolerates <tolerated>
    And the VMs send 1.3 times what the runners can run
    When the runners become brittle
    Then no runner ends under the requests that it rejects

    Examples:
      | memory                                | known      | tolerated |
      | half of the memory that is configured | the tokens | 2         |
      | memory for requests of 1 to 12 tokens | the load   | 5         |
      | memory for requests of 1 to 12 tokens | nothing    | 5         |

    @known_red
    Examples: rejections are the only sign
      | memory                                | known      | tolerated |
      | memory for half of their slots        | nothing    | 2         |

  # Guards against starts that are all granted at once to the room that a quiet
  # time has left, and against room that is known to its holder alone.
  Scenario Outline: 5 runners short of memory, of which VMs know <known>, stand it when <event>
    Given 8 VMs before 5 runners with memory for half of their slots, of which they know <known>
    And 1 requests may wait at a runner that tolerates 5
    And the VMs send <load> times what the runners can run
    When the runners become brittle and then <event>
    Then no runner ends under the requests that it rejects

    Examples:
      | event                              | load | known           |
      | a burst comes                      | 0.6  | the load        |
      | a burst comes                      | 0.6  | load and tokens |
      | 3 VMs reach other VMs no more      | 1.3  | load and tokens |
      | the VMs that hold their room leave | 1.3  | the load        |
      | start again                        | 1.3  | load and tokens |

  # Guards against reports of waiting and of rejections that are lost.
  Scenario: VMs that lose datagrams end no runner short of memory
    Given 8 VMs before 5 runners with memory for half of their slots, of which they know the load
    And 1 requests may wait at a runner that tolerates 5
    And the VMs send 1.3 times what the runners can run
    And 30 in 100 datagrams between these VMs are lost
    When the runners become brittle
    Then no runner ends under the requests that it rejects

  # Guards against room that is free by the permits of an ended process, but
  # taken by its requests, which their runner has not dropped.
  Scenario: Requests of VMs that start again run on at runners short of memory
    Given 8 VMs before 5 runners with memory for half of their slots, of which they know load and tokens
    And 1 requests may wait at a runner that tolerates 2
    And 100 in 100 requests run on after their connection has closed
    And the VMs send 1.3 times what the runners can run
    When the runners become brittle and then 3 VMs start again
    Then no runner ends under the requests that it rejects
