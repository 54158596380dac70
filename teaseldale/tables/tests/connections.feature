Feature: Connections to the platform

  Scenario: Pooled connections that all went silent cost one round of calls
    Given a table service behind a relay and 8 connections in the pool
    When the open connections to the table service go silent
    Then one read fails in time and the next 8 reads are answered
    And the read that failed is counted with its reason

  Scenario: Calls that are only slow are not cut when connections are renewed
    Given a table service behind a relay and 8 connections in the pool
    When one read meets a silent connection while another is answered late
    Then the late answer still arrives
