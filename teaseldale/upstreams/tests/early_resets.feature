Feature: Early answers whose connections are reset under the upload

  # Guards against a reset under an upload that ends the request with an error of
  # the VM itself, because a socket is examined that a failed write has closed.
  Scenario Outline: An early answer without a length is broken on <loop> if the runner ends it, and resets <delay> ms later
    Given a runner on loopback that answers at once, ends, and resets <delay> ms later
    When 8 requests with long uploads are sent to it on <loop>
    Then each answer is broken, and the examination has found <finding>

    Examples: the event loop reports an end
      | loop    | delay | finding |
      | uvloop  | 0     | a reset |
      | uvloop  | 20    | a reset |
      | uvloop  | 80    | a reset |
      | asyncio | 20    | a reset |
      | asyncio | 80    | a reset |

    Examples: the event loop reports the reset
      | loop    | delay | finding |
      | asyncio | 0     | nothing |

  # Guards against a reset that counts as a good end, because the write that has
  # met it has cleared the error of the socket.
  Scenario Outline: An end is found to be <finding> if the transport is <state> when it is examined
    Given a connection that has ended, and whose transport is <state>
    When its end is examined
    Then the finding is <finding>

    Examples:
      | state                     | finding                    |
      | open                      | complete_by_new_connection |
      | closing by a failed write | reset                      |
      | closed                    | reset                      |
