Feature: A top-up credits once

  Scenario: A top-up whose answer was lost is sent again
    Given a budget of 100 tokens and a table service that loses answers
    When 50 tokens are credited until an answer comes, with one id
    Then 150 tokens have been credited in all

  Scenario: The id of a top-up is used for another number of tokens
    Given a budget of 100 tokens and a table service that loses answers
    When 50 tokens are credited until an answer comes, with one id
    Then crediting 60 tokens with the same id is refused
    And 150 tokens have been credited in all
