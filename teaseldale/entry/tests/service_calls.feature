Feature: Calls to plain services

  # Guards against an upstream's failure that counts as a run to a good end.
  Scenario Outline: An answer with status <status> <clears> a request that was tried as a suspect
    When a service call that was tried as a suspect is answered with status <status>
    Then the answer <clears> it

    Examples:
      | status | clears         |
      | 200    | clears         |
      | 404    | clears         |
      | 500    | does not clear |
      | 503    | does not clear |
