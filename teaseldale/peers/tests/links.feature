Feature: Links between VMs

  Scenario: A link that goes silent for good is replaced by a fresh one
    Given VM b that VM a reaches through a relay
    When the relay's open connections go silent
    Then a call of VM a is answered within its time limit
    And VM a has replaced its link and never held VM b unreachable

  Scenario: Without a fresh connection the same call would fail
    Given VM b that VM a reaches through a relay
    And links that keep their sockets for good
    When the relay's open connections go silent
    Then a call of VM a fails because of its time limit

  Scenario: Replies whose connection went silent come over a fresh one
    Given VM a that VM b reaches through a relay
    When the relay's open connections go silent
    Then a call of VM a is answered within its time limit
    And VM b has replaced its link because replies were missing

  Scenario: A link that never passes bytes makes the peer unreachable once
    Given VM b that VM a reaches through a relay
    When the relay passes no bytes at all
    Then VM a holds VM b unreachable
    When the relay passes bytes again
    Then VM a holds VM b reachable after two changes of state

  Scenario: A connection that is closed is opened again
    Given VM b that VM a reaches through a relay
    When the relay closes its open connections
    Then a call of VM a is answered within its time limit

  Scenario: A VM that was replaced under its address is another incarnation
    Given VM b is replaced by another incarnation under its address
    When VM a calls the incarnation that is gone
    Then the call fails because it was replaced
    And VM a reaches the incarnation that replaced it

  Scenario: Handlers that wait for a peer do not keep others from running
    Given 64 calls whose handlers at VM b wait for VM a
    When VM a calls VM b once more
    Then that call and then the 64 calls are answered

  Scenario: A VM outside the cell is linked on demand and let go when idle
    Given a fleet of 40 listed VMs of which VM a and VM b run in two cells
    When VM a calls VM b
    Then VM a has a link to VM b that is closed once it has been idle

  Scenario: Concurrent calls travel in fewer frames than calls
    When VM a makes 200 calls to VM b at once
    Then all are answered and VM a has sent at most 40 frames

  Scenario: Threads of the messaging library are bounded
    When a process opens a listener and links to 16 VMs
    Then it runs at most 8 threads

  Scenario: A VM that the list does not show yet is found by its heartbeat
    Given a fleet so large that its list is read once a minute
    When a VM joins that lists and greets the others
    Then the others reach it before the next regular reading
