Feature: Draws are paid as far as the account allows

  # Guards against draws without a result: a keeper takes a draw of no tokens
  # for a request for an outcome, so the drawer repeated it for seconds.
  Scenario: A request of no tokens after others starts no draw of no tokens
    Given 78 VMs with an account of 6,000,000 tokens
    When a VM without drawn tokens gets 20 requests of 1000 tokens and one of 0 tokens
    Then its next draw asks for at least 1 token
