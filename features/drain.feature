Feature: A graceful shutdown cuts no request in flight

  Scenario: SIGTERM during 100 open streams
    Given a fleet of 2 VMs whose balancer needs 1000 ms to notice
    And an order with key before was confirmed through VM 0
    And 100 streams of 40 tokens are open through VM 0
    When VM 0 is sent SIGTERM
    Then its readiness fails while it still serves a stock look-up
    And after the grace a new order with key late is refused as draining, not run
    And a retry of the order with key before is answered with its first outcome
    And all 100 streams end whole with 40 tokens each
    And VM 0 ends with status 0 and each token is billed once
    And the service ran key before once and key late never

  Scenario: The check finds streams that a shutdown cuts
    Given a fleet of 1 VMs that drain for 1 ms at most
    And 4 streams of 40 tokens are open through VM 0
    When VM 0 is sent SIGTERM
    Then the check of whole streams goes red
