Feature: Messages of the platform

  Scenario: A settings file becomes settings with units
    Given the platform's settings file
    Then the settings name node "edge-sfax-mill-1" in zone "sfax-mill"
    And callers are served at "10.1.0.40:8227" and the store is at "10.200.1.7:8223"
    And a stopped process has 8000 ms, and retries have 0.2 and 56 in 10000 ms

  Scenario Outline: A settings file with <mistake> names <named>
    Given the platform's settings file with <mistake>
    Then the settings are refused, and <named> are named

    Examples:
      | mistake                      | named                           |
      | no NodeName and no Ip        | NodeName, Ip                    |
      | a Frontend without a port    | Listen.Frontend                 |
      | a text as GraceS             | Bounds.GraceS                   |
      | no Platform                  | Platform                        |
      | bytes that are no TOML       | settings.toml, line 1           |

  Scenario: A configuration becomes routes, services and accounts
    Given the platform's configuration row
    Then host "ficu95.example" and path "/lohu930/2f" lead to route "r-2yhvz3p"
    And route "r-2yhvz3p" may run on 2 runners, is resumable and splits 90 to 10
    And a path "/elsewhere/" leads nowhere
    And key "n2ctnfzs989anu6wsjnb" belongs to "hule930" with 1,685,105 tokens
    And an event of service "huvo11a" costs 5 tokens

  Scenario Outline: The longest prefix that begins a path decides
    Given routes for the prefixes "/a/", "/a/b/" and "/" of a host
    Then the path "<path>" leads to "<prefix>"

    Examples:
      | path    | prefix |
      | /a/b/c  | /a/b/  |
      | /a/b/   | /a/b/  |
      | /a/b    | /a/    |
      | /a/x/b/ | /a/    |
      | /x      | /      |

  Scenario: An older configuration never replaces a newer one
    Given configurations of version 7 and then 5
    Then version 7 is in force

  Scenario Outline: A runner's entry with <change> is <read>
    Given a runner's entry with <change>
    Then the entry is <read>

    Examples:
      | change                     | read                |
      | nothing changed            | a ready runner      |
      | the state draining         | a leaving runner    |
      | an unknown field           | a ready runner      |
      | an unknown state           | unreadable          |
      | no address                 | unreadable          |
      | an address without a port  | unreadable          |
      | a text as slots            | unreadable          |
      | no slots at all            | unreadable          |
      | a fraction as start        | unreadable          |
      | bytes that are no JSON     | unreadable          |

  Scenario: A version that is ordered gets no traffic while another one runs
    Given 2 runners of version "v1" and 2 of version "v2"
    When the operator orders version "v2"
    Then only runners of version "v1" are used
    When the runners of version "v1" have gone
    Then only runners of version "v2" are used

  Scenario: An order that is taken back or cannot be read changes nothing
    Given 2 runners of version "v1" and 2 of version "v2"
    When the operator's order cannot be read
    Then runners of both versions are used
    When the operator orders version "v2"
    And the order is removed
    Then runners of both versions are used

  # Guards against an order that goes on because its removal was not told: a
  # table that is read whole has no row for it.
  Scenario: An order that is missing when the table is read whole is forgotten
    Given 2 runners of version "v1" and 2 of version "v2"
    When the operator orders version "v2"
    And the table is read whole without the order
    Then runners of both versions are used

  Scenario: An order tells its deadline
    When an order for 12.5 s is decoded
    Then its deadline is 12,500 ms after it

  Scenario Outline: The state of an order is written for operators
    Then the row of its state in phase "<phase>" tells "<state>"

    Examples:
      | phase      | state       |
      | canary     | in_progress |
      | full       | in_progress |
      | completed  | completed   |
      | taken_back | rolled_back |

  Scenario: A caller's request is decoded
    Given a caller's request
    Then its key, deadline, usage and 3 prompt parts are known

  Scenario Outline: A caller's request with <mistake> is refused
    Given a caller's request with <mistake>
    Then it is refused

    Examples:
      | mistake                 |
      | no request id           |
      | a deadline of "soon"    |
      | a usage of "many,few"   |
      | a part without a size   |

  Scenario: A runner gets what the fleet sets, and nothing of the connection
    Given a caller's request that sets headers of the fleet
    Then the runner gets the caller's id, model, usage and prompt parts unchanged
    And the runner gets the account, the time left and its own id
    And the runner gets neither the key nor headers of the connection
    And none of the caller's settings of the fleet's headers arrive

  Scenario Outline: An answer with <head> is <taken>
    Given an answer with <head>
    Then the answer is <taken>

    Examples:
      | head                        | taken                      |
      | the request's id            | the request's own          |
      | another id                  | that of another request    |
      | no id and status 200        | that of another request    |
      | no id and status 500        | the request's own          |

  Scenario Outline: Status <status> <flag> says that the request was <run>
    Given an answer with status <status> <flag>
    Then the runner says that it was <run>

    Examples:
      | status | flag         | run     |
      | 503    | and the mark | not run |
      | 429    | and the mark | not run |
      | 421    | alone        | not run |
      | 503    | alone        | run     |
      | 200    | alone        | run     |

  Scenario: A refusal tells when to come back in fractions of a second
    Given a refusal to come back after 400 ms
    Then its headers hold "retry-after" "0.400" and the request's id
