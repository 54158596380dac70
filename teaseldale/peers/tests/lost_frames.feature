Feature: Loss of single frames on a working link

  Scenario: A call whose frame was lost is resent while heartbeats succeed
    When the first frame of a call is lost on a link that receives other replies
    Then the call is answered after one retry
