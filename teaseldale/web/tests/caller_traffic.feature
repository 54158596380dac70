Feature: Bytes exchanged with callers

  # Guards against a link that fills up without a figure that shows by whom.
  Scenario: The bytes and connections of callers are counted
    When callers send 3 requests with bodies of 2,000 bytes, each on its own connection
    Then 3 connections and all bytes in both directions are counted

  # Bytes that follow a refused head still cross the link.
  Scenario: Bytes after a refused head are counted
    When a caller sends a malformed head and 5,000 bytes after it
    Then 1 connections and all bytes in both directions are counted
