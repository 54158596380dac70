Feature: Clients that misbehave, at VMs that run as processes

  # Guards against a VM that is killed for its memory, that cannot accept
  # connections for want of descriptors, or that serves nobody else, because of
  # what some clients send. The bounds do not depend on the speed of the machine.

  Scenario Outline: Clients that send <kind> to a route do not harm the VM
    Given a VM process that may use 150 MB and 600 descriptors
    When clients send <kind> to a route
    Then its process is alive
    And its memory stayed below 150 MB
    And its descriptors stayed below 600
    And an ordinary request, the readiness and the metrics are answered

    Examples:
      | kind                                                |
      | bodies in one piece that stop just short of the end |
      | bodies in small pieces that stop short              |
      | bodies in chunks without the last chunk             |
      | bodies that go on byte by byte                      |
      | bodies far over the limit                           |
      | bodies in chunks far over the limit                 |
      | very many short headers                             |
      | very many chunk extensions                          |
      | very many short trailers                            |
      | an endless trailer                                  |
      | pipelined requests and read no answer               |
      | requests and read no answer                         |
      | requests and read byte by byte                      |
      | half a head                                         |
      | nothing                                             |

  Scenario Outline: Clients that send <kind> to a path without a route do not harm the VM
    Given a VM process that may use 150 MB and 600 descriptors
    When clients send <kind> to a path without a route
    Then its process is alive
    And its memory stayed below 150 MB
    And its descriptors stayed below 600
    And an ordinary request, the readiness and the metrics are answered

    Examples:
      | kind                                                |
      | bodies in one piece that stop just short of the end |
      | bodies in small pieces that stop short              |
      | bodies in chunks without the last chunk             |
      | bodies that go on byte by byte                      |
      | bodies far over the limit                           |
      | bodies in chunks far over the limit                 |
      | very many short headers                             |
      | very many chunk extensions                          |
      | very many short trailers                            |
      | an endless trailer                                  |
      | pipelined requests and read no answer               |
      | requests and read no answer                         |
      | requests and read byte by byte                      |
      | half a head                                         |
      | nothing                                             |

  Scenario Outline: Clients that send <kind> to the readiness address do not harm the VM
    Given a VM process that may use 150 MB and 600 descriptors
    When clients send <kind> to the readiness address
    Then its process is alive
    And its memory stayed below 150 MB
    And its descriptors stayed below 600
    And an ordinary request, the readiness and the metrics are answered

    Examples:
      | kind                                                |
      | bodies in one piece that stop just short of the end |
      | bodies in small pieces that stop short              |
      | bodies in chunks without the last chunk             |
      | bodies that go on byte by byte                      |
      | bodies far over the limit                           |
      | bodies in chunks far over the limit                 |
      | very many short headers                             |
      | very many chunk extensions                          |
      | very many short trailers                            |
      | an endless trailer                                  |
      | pipelined requests and read no answer               |
      | requests and read no answer                         |
      | requests and read byte by byte                      |
      | half a head                                         |
      | nothing                                             |

  Scenario Outline: Clients that send <kind> to the metrics address do not harm the VM
    Given a VM process that may use 150 MB and 600 descriptors
    When clients send <kind> to the metrics address
    Then its process is alive
    And its memory stayed below 150 MB
    And its descriptors stayed below 600
    And an ordinary request, the readiness and the metrics are answered

    Examples:
      | kind                                                |
      | bodies in one piece that stop just short of the end |
      | bodies in small pieces that stop short              |
      | bodies in chunks without the last chunk             |
      | bodies that go on byte by byte                      |
      | bodies far over the limit                           |
      | bodies in chunks far over the limit                 |
      | very many short headers                             |
      | very many chunk extensions                          |
      | very many short trailers                            |
      | an endless trailer                                  |
      | pipelined requests and read no answer               |
      | requests and read no answer                         |
      | requests and read byte by byte                      |
      | half a head                                         |
      | nothing                                             |

  # Unusual but valid parts of HTTP, and requests that mix two of the kinds.
  Scenario Outline: Clients that send unusual <kind> to <place> do not harm the VM
    Given a VM process that may use 150 MB and 600 descriptors
    When clients send <kind> to <place>
    Then its process is alive
    And its memory stayed below 150 MB
    And its descriptors stayed below 600
    And an ordinary request, the readiness and the metrics are answered

    Examples:
      | kind                                       | place                  |
      | heads that go on byte by byte              | a route                |
      | requests of HTTP/1.0 and read no answer    | a route                |
      | heads that expect 100-continue and no body | a route                |
      | bodies without waiting for 100-continue    | a route                |
      | upgrades and further bytes                 | a route                |
      | requests behind an unfinished body         | a route                |
      | heads that go on byte by byte              | the readiness address  |
      | requests of HTTP/1.0 and read no answer    | the readiness address  |
      | heads that expect 100-continue and no body | the readiness address  |
      | bodies without waiting for 100-continue    | the readiness address  |
      | upgrades and further bytes                 | the readiness address  |
      | unfinished bodies behind unread answers    | the readiness address  |
      | requests behind an unfinished body         | the readiness address  |

    @known_red
    Examples: bodies behind unread answers
      | kind                                    | place   |
      | unfinished bodies behind unread answers | a route |
