Feature: Idempotent top-ups

  Scenario: A top-up that is retried after lost answers is credited once
    Given a budget of 100 tokens and a table service that loses answers
    When a top-up of 50 tokens is retried with one id until it is answered
    Then the budget has been credited 150 tokens in total

  Scenario: A top-up id cannot be reused for another number of tokens
    Given a budget of 100 tokens and a table service that loses answers
    When a top-up of 50 tokens is retried with one id until it is answered
    Then a top-up of 60 tokens with the same id is refused
    And the budget has been credited 150 tokens in total
