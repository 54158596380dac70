Feature: A graceful shutdown cuts no request in flight

  @known_red
  Scenario: SIGTERM during 100 open streams
    Given a fleet of 2 VMs with a balancer grace period of 1000 ms
    And an order with key before was confirmed through VM 0
    And 100 streams of 40 tokens are open through VM 0
    When VM 0 is sent SIGTERM
    Then its readiness check fails while it still serves a stock look-up
    And after the grace period a new order with key late is refused as draining and not run
    And a retry of the order with key before returns the original response
    And all 100 streams complete with 40 tokens each
    And VM 0 exits with status 0 and each token is billed once
    And the service ran key before once and key late never

  Scenario: The check finds streams that a shutdown cuts
    Given a fleet of 1 VMs with a drain timeout of 1 ms
    And 4 streams of 40 tokens are open through VM 0
    When VM 0 is sent SIGTERM
    Then the check for complete streams fails
