Feature: Draws of a VM that gets all requests of an account

  # Guards against draws for each request, which saturated a 5 Mbit/s link, and
  # against refusals while the account had free tokens.
  Scenario: A busy VM is paid by few datagrams over a slow and lossy link
    Given 78 VMs with an account of 6,000,000 tokens of which one VM gets 60 requests a second
    And its datagrams take up to 300 ms and a fifth of them are lost
    When the requests go on for 16 s
    Then its draws, answers and returns take at most 2,000 bytes in any second
    And at most 1 in 100 requests is refused while a twentieth of the account is left
    And at least 95 in 100 tokens of the account are used

  # Guards against tokens withheld by VMs whose callers have gone.
  Scenario: Tokens drawn ahead are returned within a second after the demand ends
    Given 78 VMs with an account of 6,000,000 tokens of which one VM gets 60 requests a second
    When the requests go on for 4 s
    Then it holds no drawn tokens a second later
