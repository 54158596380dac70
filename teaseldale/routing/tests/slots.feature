Feature: Division of runner slots among VMs without a coordinator

  Scenario: Connected VMs never exceed the limit of a runner
    When VMs acquire and release slots at random while VMs join and leave
    Then no runner exceeded its limit at any step of any run

  Scenario: Partitioned VMs stay within the documented bound
    When VMs acquire and release slots at random while links are cut and restored
    Then the total stayed within the limit plus the shares of the partitioned VMs

  Scenario: A partitioned VM falls back to its fixed share
    Given 4 VMs before 3 runners
    When VM 0 is partitioned from all others for 20 s
    Then VM 0 may use its fixed share and no more
    And the shares of all VMs add up to the limit

  Scenario: The slots of a stopped VM become available to the others
    Given 4 VMs before 3 runners
    When VM 0 releases its slots and leaves
    Then the others can use all slots of every runner
