Feature: Embedding of budget spending

  Scenario: The example of the embedding page runs
    When the example of docs/EMBEDDING.md is run
    Then its budget is billed for its request
