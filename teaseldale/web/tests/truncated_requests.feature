Feature: Request bodies that end early

  # Guards against a truncated request that is forwarded as a complete one.
  Scenario Outline: A body <framing> that ends <end> is <result>
    Given a caller that sends a body <framing>
    When the connection ends <end>
    Then the request is <result>

    Examples:
      | framing       | end                    | result   |
      | with a length | before its last byte   | not read |
      | in chunks     | before its last chunk  | not read |
      | in chunks     | inside a chunk         | not read |
      | with a length | after its last byte    | read     |
      | in chunks     | after its last chunk   | read     |
