Feature: The checks of routing and upstreams go red when the code is wrong

  Scenario Outline: <mutation>
    When "<feature>" is run while <mutation>
    Then the scenario "<scenario>" fails

    Examples:
      | mutation                               | feature         | scenario                                                    |
      | slot owners ignore what others hold    | slots.feature   | While connected no runner ever runs more than its limit     |
      | leaving runners still get work         | runner_faults.feature | A leaving runner gets no new work: its own report     |
      | paused streams keep their slots        | runner_faults.feature | Slow readers give their slots back                    |
      | parts are not checked for their offset | runner_faults.feature | An engine resumes before the wanted offset            |
      | suspects are not told to others        | quarantine.feature    | A poison request is sent again and again with new keys |
      | suspects are tried all at once         | quarantine.feature    | One suspect at a time is tried at an upstream |
      | retries have no budget                 | admission.feature     | Retries never exceed the route's share                |
      | the queue ignores priorities           | admission.feature     | Waiting requests go by priority and by turns of the accounts |
