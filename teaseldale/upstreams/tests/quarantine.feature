Feature: Quarantine of requests that crash the upstreams that run them

  Scenario: A poison request is sent again and again with new keys
    Given 8 VMs before 9 runners that crash on a word
    When 60 callers ask while one sends the word 12 times through all VMs
    Then at most 2 runners have crashed
    And every other caller has its whole answer
    And the refusals of the word say quarantined and never not run
    And all VMs know one quarantined fingerprint

  Scenario: Requests that ran beside the poison are not blamed
    Given 8 VMs before 3 runners that crash on a word
    When 40 callers ask while one sends the word 3 times through all VMs
    Then at most 2 runners have crashed
    And every other caller has its whole answer

  Scenario: One suspect at a time is tried at an upstream
    Given 8 VMs before 9 runners that crash on a word
    When all VMs try 16 suspects at the same upstream for 200 ms each
    Then no two of the 16 trials overlapped and all took place

  Scenario: A poison request comes while a link between two VMs is down
    Given 8 VMs before 9 runners that crash on a word
    And VM 0 and VM 1 are cut off from each other
    When 60 callers ask while one sends the word 12 times through all VMs
    Then at most 2 runners have crashed
    And every other caller has its whole answer

  Scenario: A quarantined request runs again after its release
    Given 8 VMs before 9 runners that crash on a word
    When 20 callers ask while one sends the word 4 times through all VMs
    And the fault is mended and operators release the fingerprint at VM 5
    Then the word is answered through VM 2

  Scenario: A quarantined request runs again after the expiry
    Given 3 VMs before 9 runners that crash on a word
    When 20 callers ask while one sends the word 4 times through all VMs
    And the fault is mended and 10 minutes pass
    Then the word is answered through VM 2

  Scenario: A crash without a cause clears all that it made suspect
    Given 8 VMs before 9 runners that crash on a word
    When 60 callers ask and one runner crashes for no cause
    Then every other caller has its whole answer
    And no VM knows a suspect
