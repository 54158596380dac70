Feature: Robustness and compatibility of messages

  Scenario: Arbitrary bytes do not stop the handling of frames and calls
    When arbitrary bytes arrive as frames, calls and bodies
    Then each is counted or answered and a valid call is still answered

  Scenario: Two releases are compatible in both directions
    When an old and a new release exchange orders in both directions
    Then each order is decoded unchanged or rejected because of its fence

  Scenario: The check detects a codec that ignores unknown fields
    When orders are exchanged with unknown fields ignored in every version
    Then some order is decoded wrongly

  Scenario: Optional fields of later releases are ignored
    When a message and a frame with fields of a later release arrive
    Then they are decoded without those fields
