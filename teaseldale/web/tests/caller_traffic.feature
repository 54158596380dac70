Feature: Bytes exchanged with callers

  # Guards against a link that fills up without a figure that shows by whom.
  Scenario: The bytes and connections of callers are counted
    When callers send 3 requests with bodies of 2,000 bytes, each on its own connection
    Then 3 connections and all bytes in both directions are counted

  # Bytes that follow a refused head still cross the link.
  Scenario: Bytes after a refused head are counted
    When a caller sends a malformed head and 5,000 bytes after it
    Then 1 connections and all bytes in both directions are counted

  # Guards against refusals that a caller loses, because closing a connection
  # with unread bytes resets it.
  Scenario: The body of a refused request is dropped before the connection closes
    When a request is refused before its body of 4 parts has arrived
    Then the caller has the whole refusal before its second part is sent
    And the connection is closed only after the last part

  # Guards against a caller that keeps a refused connection by stopping.
  Scenario: A refused request whose body does not arrive is closed
    When a request is refused before its body arrives, which never does
    Then the connection is closed after 1 s
