Feature: The tests of routing and upstreams detect injected faults

  Scenario Outline: <mutation>
    When "<feature>" is run while <mutation>
    Then the scenario "<scenario>" fails

    Examples:
      | mutation                               | feature               | scenario                                                        |
      | slot owners ignore what others hold    | slots.feature         | Connected VMs never exceed the limit of a runner                |
      | leaving runners still get work         | runner_faults.feature | A leaving runner gets no new work: its own report               |
      | paused streams keep their slots        | runner_faults.feature | Streams of slow readers release their slots                     |
      | parts are not checked for their offset | runner_faults.feature | An engine resumes before the requested offset                   |
      | suspects are not told to others        | quarantine.feature    | A poison request is sent again and again with new keys          |
      | suspects are tried all at once         | quarantine.feature    | One suspect at a time is tried at an upstream                   |
      | retries have no budget                 | admission.feature     | Retries stay within the route's retry budget                    |
      | the queue ignores priorities           | admission.feature     | Queued requests are served by priority, then by account in turn |
