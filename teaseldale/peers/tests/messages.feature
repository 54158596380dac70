Feature: Messages between releases

  Scenario: No bytes end the handling of frames or calls
    When bytes of every kind arrive as frames, calls and bodies
    Then each is counted or answered and a good call is still answered

  Scenario: Two releases side by side understand each other both ways
    When orders travel between an old and a new release in both directions
    Then each order is read alike or refused because its fence must be obeyed

  Scenario: A check that only tolerates unknown fields would be seen
    When orders travel with unknown fields ignored whatever their version
    Then some order is misread

  Scenario: Fields and frames of later releases are ignored where they may be
    When a message and a frame with fields of a later release arrive
    Then they are read without those fields
