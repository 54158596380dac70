Feature: Draws are paid as far as the account allows

  # Guards against draws without a result: a keeper takes a draw of no tokens
  # for a request for an outcome, so the drawer repeated it for seconds.
  Scenario: A request of no tokens after others starts no draw of no tokens
    Given 78 VMs with an account of 6,000,000 tokens
    When a VM without drawn tokens gets 20 requests of 1000 tokens and one of 0 tokens
    Then its next draw asks for at least 1 token

  # Guards against a payment of the smallest request only, when the account
  # has tokens for several, but not for all requests that wait.
  Scenario: A draw for more than the account has is paid what it has
    Given 78 VMs with an account of 100,000 tokens
    When a keeper gets a draw of 1000 tokens with 900000 waiting and 0 ahead
    Then it pays at least 50000 tokens

  # Guards against a refusal of the smallest request because the keeper's view
  # of the account is old and too large for all requests that wait.
  Scenario: A draw is paid although other keepers have taken the free tokens
    Given 78 VMs with an account of 100,000 tokens
    And another keeper has just spent 70000 tokens
    When a keeper gets a draw of 10000 tokens with 100000 waiting and 0 ahead
    Then it pays at least 10000 tokens

  # Guards against a VM that gets almost nothing from keepers of the build
  # before, which pay the tokens of a draw but not those of other requests.
  Scenario: Keepers of an earlier build pay all waiting requests of a VM
    Given 78 VMs with an account of 6,000,000 tokens of which one VM gets 60 requests a second
    And its datagrams take up to 300 ms and a fifth of them are lost
    And the keepers are of an earlier build
    When the requests go on for 16 s
    Then at least 80 in 100 tokens of the account have been used
    And the account is not overspent

  # Guards against tokens that are credited twice or paid again after a kill.
  Scenario: Kills and cuts of a busy VM and of keepers overspend nothing
    When 78 VMs run random histories of draws with kills and cuts, seeds 1 to 3
    Then none of the histories overspends the account
