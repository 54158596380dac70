Feature: Connections to the platform

  Scenario: Pooled connections that all went silent cost one round of calls
    Given a table service behind a relay and 8 connections in the pool
    When the relay stops forwarding data on the open connections
    Then one read times out and the next 8 reads succeed
    And the failed read is counted with its reason

  Scenario: Replacing the connection pool does not abort slow calls
    Given a table service behind a relay and 8 connections in the pool
    When one read times out while another read is slow
    Then the slow read still succeeds
