Feature: Callers of the own interface that misbehave, at a VM that runs as a process

  # Guards against a VM that is killed for its memory because callers do not
  # read their answers. The bounds do not depend on the speed of the machine.

  Scenario Outline: Callers that <kind> do not harm the VM
    Given a VM with its own interface that may use 150 MB and 600 descriptors
    When callers <kind> of the own interface
    Then the VM with its own interface is alive
    And its memory stayed below 150 MB
    And its descriptors stayed below 600
    And an ordinary call and the list of models are answered

    Examples:
      | kind                                                        |
      | ask for the models and read nothing                         |
      | ask for the models and read byte by byte                    |
      | pipeline requests for the models and read nothing           |
      | pipeline requests for one large answer and read nothing     |
      | ask for one large answer with the same key and read nothing |

    # The records of finished requests keep their answers for ten minutes.
    @known_red
    Examples: answers of their own
      | kind                                                        |
      | ask for large answers of their own and read nothing         |
