Feature: Ends of responses that arrive through a tunnel

  # Guards against a truncated response that counts as complete because the VM
  # that relays it was killed: its connection ends like one of the runner.
  Scenario Outline: A response <framing> is <outcome> through a tunnel if <event>
    Given a VM that reaches a runner only through a relaying VM
    When the runner answers <framing>, and <event>
    Then the response is <outcome>

    Examples:
      | framing          | event                                 | outcome |
      | without a length | the runner closes the connection      | whole   |
      | without a length | the relaying VM is killed halfway     | broken  |
      | without a length | the runner crashes halfway            | broken  |
      | without a length | the runner crashes halfway and its next process listens | broken |
      | without a length | the relaying VM is killed while it examines the end | broken |
      | without a length | the relaying VM is killed after its end | whole   |
      | with a length    | the relaying VM is killed halfway     | broken  |
      | with a length    | the runner closes the connection      | whole   |
      | in chunks        | the relaying VM is killed halfway     | broken  |
      | in chunks        | the runner closes the connection      | whole   |

  # An earlier build sends no chunks, so its end proves nothing.
  Scenario Outline: A response <framing> through an older relaying VM is <outcome>
    Given a VM that reaches a runner only through an older relaying VM
    When the runner answers <framing>, and the runner closes the connection
    Then the response is <outcome>

    Examples:
      | framing          | outcome |
      | without a length | broken  |
      | with a length    | whole   |
      | in chunks        | whole   |

  # Guards against an older VM that reads chunks as bytes of the runner.
  Scenario: A VM that accepts no chunks receives the runner's bytes as they are
    Given a VM that reaches a runner only through a relaying VM
    When it asks for a tunnel as an older VM does, and the runner answers
    Then it receives the bytes of the runner unchanged
