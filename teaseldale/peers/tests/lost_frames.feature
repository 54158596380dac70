Feature: Frames lost by a link that goes on working

  Scenario: A call whose frame was lost is repeated while heartbeats pass
    When the first frame of a call is lost on a link that hears its peer
    Then the call is answered after one repetition
