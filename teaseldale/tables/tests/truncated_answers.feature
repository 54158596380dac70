Feature: Truncated answers of the platform

  # Guards against an answer that ends early and either ends the reader with an
  # unexpected exception or reads as fewer rows.
  Scenario Outline: A truncated answer to <call> fails like a lost connection
    Given a platform that ends its answers early, without a length
    When the VM calls <call>
    Then the call fails with the platform's address and a reason

    Examples:
      | call    |
      | read    |
      | scan    |
      | commit  |
      | members |
