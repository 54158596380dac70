Feature: Prompts of a busy cell are read by runners of other cells

  # Guards against one VM with a third of all requests that uses the few runners of
  # its cell until their slots are full, while others have time: their streams pause
  # for longer than callers accept.
  Scenario: Fewer streams pause if a busy cell uses runners of other cells
    Given 45 runners in 7 cells, and a VM with half of 200 prompts per second
    When its prompts are placed for 20 s, in its cell only and beyond it
    Then beyond its cell at most half as many streams pause as in its cell only
    And the busiest runner gets at most 1.3 times the mean

  # Guards against prompts that leave their cell, and the parts cached there, while
  # the runners of the cell have time.
  Scenario: A cell with usual load uses its own runners
    Given 45 runners in 7 cells, and a VM with a tenth of 60 prompts per second
    When its prompts are placed for 20 s, in its cell only and beyond it
    Then at most 1 in 100 of its prompts leave its cell
