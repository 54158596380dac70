Feature: Messaging links between VMs

  Scenario: A link that goes silent for good is replaced by a fresh one
    Given VM b that VM a reaches through a relay
    When the relay's open connections drop all further bytes
    Then a call from VM a is answered before its timeout
    And VM a has replaced its socket and never marked VM b unreachable

  Scenario: Without a fresh connection the same call would fail
    Given VM b that VM a reaches through a relay
    And links that never replace their sockets
    When the relay's open connections drop all further bytes
    Then a call from VM a fails with a timeout

  Scenario: Replies whose connection went silent come over a fresh one
    Given VM a that VM b reaches through a relay
    When the relay's open connections drop all further bytes
    Then a call from VM a is answered before its timeout
    And VM b has replaced its socket because replies were missing

  Scenario: A link that never passes bytes makes the peer unreachable once
    Given VM b that VM a reaches through a relay
    When the relay drops all bytes
    Then VM a marks VM b unreachable
    When the relay forwards bytes again
    Then VM a marks VM b reachable again after two state changes

  Scenario: A closed connection is re-established
    Given VM b that VM a reaches through a relay
    When the relay closes its open connections
    Then a call from VM a is answered before its timeout

  Scenario: A VM that was replaced under its address is another incarnation
    Given VM b is replaced by another incarnation at the same address
    When VM a calls the replaced incarnation
    Then the call fails because the incarnation was replaced
    And VM a reaches the new incarnation

  Scenario: Blocked handlers do not block other handlers
    Given 64 calls whose handlers at VM b are blocked
    When VM a makes one more call to VM b
    Then that call is answered before the 64 blocked calls

  Scenario: A link outside the cell is opened on demand and closed when idle
    Given a fleet of 40 listed VMs with VM a and VM b in different cells
    When VM a calls VM b
    Then VM a opens a link to VM b and closes it after the idle timeout

  Scenario: Concurrent calls are batched into fewer frames
    When VM a makes 200 concurrent calls to VM b
    Then all calls are answered and VM a has sent at most 40 frames

  Scenario: The messaging library starts a bounded number of threads
    When a process opens a listener and links to 16 VMs
    Then it runs at most 8 threads

  Scenario: A VM that is not listed yet is discovered by its heartbeat
    Given a fleet so large that its membership list is read once a minute
    When a VM joins, announces itself and sends heartbeats
    Then the other VMs reach it before the next regular list read
