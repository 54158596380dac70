Feature: Slots of runners divided among VMs without a coordinator

  Scenario: While connected no runner ever runs more than its limit
    When VMs take, use and give back slots at random with VMs joining and leaving
    Then the limit held at every step of all runs

  Scenario: Cut-off VMs stay within the stated bound
    When VMs take and use slots at random while links are cut and heal
    Then the sum stayed within the limit and the shares of the cut-off VMs

  Scenario: A VM without contact falls back to its fixed share
    Given 4 VMs before 3 runners
    When VM 0 is cut off from all others for 20 s
    Then VM 0 may use its fixed share and no more
    And the shares of all VMs add up to the limit

  Scenario: A stopped VM's slots serve the others
    Given 4 VMs before 3 runners
    When VM 0 hands its slots back and leaves
    Then the others can use all slots of every runner
