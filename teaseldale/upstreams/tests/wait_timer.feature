Feature: Timeouts of the waits on a connection

  # Guards against a request that fails with an internal error because the event
  # loop returns a handle without a time for a timeout that has passed already.
  Scenario: A wait whose time is over is followed by another on the same connection
    Given a timer on the event loop that VMs run on
    When a wait of 0 seconds is followed at once by one of 0.05 seconds
    Then the timer expires once
