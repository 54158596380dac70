Feature: Measurements that are the same on every run

  Scenario: Every deterministic measure keeps its bound
    When all measurements that have deterministic rows are taken quickly
    Then each deterministic row is held
    And a row that breaks its bound is told apart from one that keeps it
