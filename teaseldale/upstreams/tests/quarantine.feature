Feature: Quarantine of requests that crash the upstreams that run them

  Scenario: A poison request is sent again and again with new keys
    Given 8 VMs before 9 runners that crash on a poison word
    When 60 callers send requests while one sends the poison word 12 times across all VMs
    Then at most 2 runners have crashed
    And every other caller gets its complete response
    And the poison word is refused as quarantined and never as not run
    And every VM stores exactly one quarantined fingerprint

  Scenario: Requests that run concurrently with the poison are not refused
    Given 8 VMs before 3 runners that crash on a poison word
    When 40 callers send requests while one sends the poison word 3 times across all VMs
    Then at most 2 runners have crashed
    And every other caller gets its complete response

  Scenario: One suspect at a time is tried at an upstream
    Given 8 VMs before 9 runners that crash on a poison word
    When all VMs try 16 suspects at the same upstream for 200 ms each
    Then all 16 trials ran and no two of them overlapped

  Scenario: A poison request comes while a link between two VMs is down
    Given 8 VMs before 9 runners that crash on a poison word
    And the link between VM 0 and VM 1 is cut
    When 60 callers send requests while one sends the poison word 12 times across all VMs
    Then at most 2 runners have crashed
    And every other caller gets its complete response

  Scenario: A quarantined request runs again after its release
    Given 8 VMs before 9 runners that crash on a poison word
    When 20 callers send requests while one sends the poison word 4 times across all VMs
    And the fault is fixed and operators release the fingerprint at VM 5
    Then the poison word is served through VM 2

  Scenario: A quarantined request runs again after the expiry
    Given 3 VMs before 9 runners that crash on a poison word
    When 20 callers send requests while one sends the poison word 4 times across all VMs
    And the fault is fixed and 10 minutes pass
    Then the poison word is served through VM 2

  Scenario: Suspects of a crash that no request caused are cleared
    Given 8 VMs before 9 runners that crash on a poison word
    When 60 callers send requests and one runner crashes spontaneously
    Then every other caller gets its complete response
    And no VM stores a suspect

  # Guards against blame for a fault that ends several upstreams at once, and
  # against a request that is never held back because many callers send it.
  Scenario Outline: Crashes of attempts at <spans> ms make a request <state>
    When the attempts of a request that crashed are <spans> ms
    Then the request is <state>

    Examples:
      | spans               | state       |
      | 0-20                | a suspect   |
      | 0-20, 5-20, 10-20   | a suspect   |
      | 0-20, 10-30         | a suspect   |
      | 0-20, 30-50         | quarantined |
      | 30-50, 0-20         | quarantined |
      | 0-20, 10-30, 25-45  | quarantined |
