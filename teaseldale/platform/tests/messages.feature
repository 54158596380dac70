Feature: Messages of the platform

  Scenario: A settings file is decoded and its units are converted
    Given the platform's settings file
    Then the settings name node "edge-sfax-mill-1" in zone "sfax-mill"
    And callers connect to "10.1.0.40:8227" and the store is at "10.200.1.7:8223"
    And the shutdown grace is 8000 ms, and retries are limited to 0.2 plus 56 per 10000 ms

  # Guards against a VM that refuses all requests, because it may hold no bytes.
  Scenario Outline: A memory limit of <limit> lets a process use <bytes> bytes
    Given a settings file whose memory limit is <limit>
    Then the settings allow <bytes> bytes of memory

    Examples:
      | limit         | bytes       |
      | 300           | 300,000,000 |
      | 192.5         | 192,500,000 |
      | 0             | 256,000,000 |
      | no MemoryMb   | 256,000,000 |

  # Guards against a VM that refuses requests by a rate that nobody has stated.
  Scenario Outline: A link of <rate> carries <bytes> bytes per second
    Given a settings file whose link rate is <rate>
    Then the settings state a link of <bytes> bytes per second

    Examples:
      | rate        | bytes   |
      | 5           | 625,000 |
      | 0.5         | 62,500  |
      | 0           | 0       |
      | -1          | 0       |
      | no LinkMbps | 0       |

  # Guards against a process that does not start where a bound is left out
  # because the contract that it belongs to is not in force.
  Scenario: Settings need the bounds of each set of contracts and no others
    Given the platform's settings file
    Then it is valid with any set of contracts and the bounds that they require
    And each bound that a contract requires is named if it is missing

  # Guards against a version that gets traffic without a bound.
  Scenario: Version moves are off where the settings limit no exposure
    Given the platform's settings file
    Then without its exposure bounds the settings turn version moves off

  Scenario Outline: A settings file with <mistake> is rejected
    Given the platform's settings file with <mistake>
    Then the settings are rejected with an error that names <named>

    Examples:
      | mistake                      | named                           |
      | no NodeName and no Ip        | NodeName, Ip                    |
      | a Frontend without a port    | Listen.Frontend                 |
      | a text as GraceS             | Bounds.GraceS                   |
      | no Platform                  | Platform                        |
      | bytes that are no TOML       | settings.toml, line 1           |

  Scenario: A configuration is decoded into routes, services and accounts
    Given the platform's configuration row
    Then host "ficu95.example" and path "/lohu930/2f" match route "r-2yhvz3p"
    And route "r-2yhvz3p" may run on 2 runners, is resumable and splits 90 to 10
    And path "/elsewhere/" matches no route
    And key "n2ctnfzs989anu6wsjnb" belongs to account "hule930" with 1,685,105 prepaid tokens
    And an event of service "huvo11a" holds 5 tokens
    And health checks of service "huvo11a" use the path "/healthz"

  Scenario Outline: The longest matching path prefix selects the route
    Given routes for the prefixes "/a/", "/a/b/" and "/" of a host
    Then path "<path>" matches prefix "<prefix>"

    Examples:
      | path    | prefix |
      | /a/b/c  | /a/b/  |
      | /a/b/   | /a/b/  |
      | /a/b    | /a/    |
      | /a/x/b/ | /a/    |
      | /x      | /      |

  # Guards against a request that runs twice, because an encoded slash lets a
  # route match that may repeat it.
  Scenario Outline: A request for <target> is one for the route "<prefix>"
    Given routes for the prefixes "/a/", "/a/b/" and "/" of a host
    When a request for <target> is read
    Then its route has the prefix "<prefix>"

    Examples:
      | target           | prefix |
      | /a/b%2Fc         | /a/    |
      | /a/b%2f          | /a/    |
      | /a%2Fb/c         | /      |
      | /a/b/c%2Fd       | /a/b/  |
      | /%61/b/c         | /a/b/  |
      | /a/b?c=/x/       | /a/    |
      | /a/b%252Fc       | /a/    |

  # Guards against a health check that takes another process for the runner.
  Scenario Outline: The sender of <answer> to a health check is <finding>
    Given a health check of the runner i-1 at <path>
    Then the request "<request>" is sent, which names i-1
    And the sender of <answer> is <finding>

    Examples:
      | path     | request          | answer                  | finding         |
      | /healthz | GET /healthz     | 200 without an id       | unnamed |
      | /healthz | GET /healthz     | 503 of i-1              | named |
      | /healthz | GET /healthz     | 200 of i-2              | other    |
      | /healthz | GET /healthz     | 421 without an id       | other    |
      | no path  | OPTIONS *        | 405 without an id       | unnamed |
      | health   | OPTIONS *        | 200 of i-1              | named |

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

    # Guards against a single odd entry that ends every process which reads the
    # list of runners, or stops it from following the list.
    Examples: entries of another writer
      | change                               | read           |
      | a start before 1970                  | unreadable     |
      | a start beyond any date              | unreadable     |
      | a start of 10**400                   | unreadable     |
      | slots of 10**19                      | unreadable     |
      | slots of 10**9                       | unreadable     |
      | port 0                               | unreadable     |
      | port -1                              | unreadable     |
      | port 99999                           | unreadable     |
      | a port in other digits               | unreadable     |
      | a port with a blank                  | unreadable     |
      | a host name                          | unreadable     |
      | an address of five numbers           | unreadable     |
      | an empty service                     | unreadable     |
      | an empty version                     | unreadable     |
      | an unknown field nested 2,000 deep   | unreadable     |
      | an unknown field nested 100,000 deep | unreadable     |
      | a field nested 2,000 deep            | unreadable     |

  # Guards against an order that ends or stops the processes that follow orders.
  Scenario Outline: An order with <change> is <read>
    Given an order with <change>
    Then the order is <read>

    Examples:
      | change                             | read       |
      | nothing changed                    | readable   |
      | a duration of 1e308                | unreadable |
      | a duration of 10**400              | unreadable |
      | a negative duration                | unreadable |
      | an empty version                   | unreadable |
      | an unknown field nested 2,000 deep | unreadable |

  # Guards against runners that are lost beside an entry that cannot be read.
  Scenario: Runners beside odd entries are used, and changes are followed
    Given 2 runners of version "v1" and 0 of version "v2"
    When odd entries are read beside 3 runners, and then one more runner
    Then 4 runners are used

  Scenario: An ordered version gets no traffic while another version has runners
    Given 2 runners of version "v1" and 2 of version "v2"
    When the operator orders version "v2"
    Then only runners of version "v1" are used
    When the runners of version "v1" have been removed
    Then only runners of version "v2" are used

  Scenario: A removed or unreadable order does not restrict the versions in use
    Given 2 runners of version "v1" and 2 of version "v2"
    When the operator's order is unreadable
    Then runners of both versions are used
    When the operator orders version "v2"
    And the order is removed
    Then runners of both versions are used

  # Guards against an order that stays in effect after its removal was missed: a
  # full read of the table returns no row for a removed order.
  Scenario: An order that is missing from a full read of the table is dropped
    Given 2 runners of version "v1" and 2 of version "v2"
    When the operator orders version "v2"
    And a full read of the table does not return the order
    Then runners of both versions are used

  # Guards against requests to a zone whose evacuation an operator has ordered,
  # whichever of the two tables is read first.
  Scenario Outline: Runners of a zone are not used while it is evacuated, <order>
    Given runners in the zones "z1,z2,z2", read <order>
    Then the runners of the zones "z1" are used, also after a full read
    And only runners of the zones "z2" get an objection to a send
    When the evacuation of zone "z2" ends by <end>
    Then the runners of the zones "z1,z2,z2" are used
    And only runners of the zones "" get an objection to a send

    Examples:
      | order                                          | end                                    |
      | before the row that evacuates zone "z2"        | a removal of the row                   |
      | after the row that evacuates zone "z2"         | a removal of the row                   |
      | before the row that evacuates zone "z2"        | a full read without the row            |
      | after a full read that evacuates zone "z2"     | a full read without the row            |
      | after a full read that evacuates zone "z2"     | a full read in which the row is empty  |

  # Guards against an evacuation that is lost beside rows that cannot be read.
  Scenario: A zone is evacuated by any value of the row and beside odd rows
    Given runners in the zones "z1,z2,z2", read before the row that evacuates zone "z1"
    When odd operator rows and one that evacuates zone "z2" with the value "?" are read
    Then no runner is used

  # Guards against a misspelt zone that stops the others or hides that it is so.
  Scenario: An unknown zone causes a log line and nothing else
    Given runners in the zones "z1,z2,z2", read before the row that evacuates zone "z9"
    Then the runners of the zones "z1,z2,z2" are used
    And a log line states that zone "z9" is evacuated with 0 runners

  # Guards against an unproven version that gets all the traffic because the
  # runners of the version in use are evacuated.
  Scenario: An unproven version does not replace evacuated runners
    Given 2 runners of version "v1" and 2 of version "v2"
    When the operator orders version "v2"
    And the operator evacuates the zone of version "v1"
    Then no runner is used

  Scenario: The duration of an order is decoded
    When an order for 12.5 s is decoded
    Then its duration is 12,500 ms

  Scenario Outline: The status row of an order reports its state to operators
    Then its status row in phase "<phase>" has the state "<state>"

    Examples:
      | phase      | state       |
      | canary     | in_progress |
      | full       | in_progress |
      | completed  | completed   |
      | taken_back | rolled_back |

  Scenario: A caller's request is decoded
    Given a caller's request
    Then its key, deadline, usage and 3 prompt parts are decoded

  Scenario Outline: A caller's request with <mistake> is refused
    Given a caller's request with <mistake>
    Then it is refused

    Examples:
      | mistake                 |
      | no request id           |
      | a deadline of "soon"    |
      | a usage of "many,few"   |
      | a part without a size   |

    # Guards against numbers that pass as such and fail, or credit an account,
    # where they are used.
    Examples: numbers
      | mistake                   |
      | a deadline of nan         |
      | a deadline of inf         |
      | a negative deadline       |
      | a negative prompt         |
      | a negative output         |
      | a usage of 10**400        |
      | a part of a negative size |

  # Guards against a report of a runner that fails the request it comes with.
  Scenario Outline: A load of "<text>" is decoded as <load>
    Given an answer whose runner reports the load "<text>"
    Then the decoded load is <load>

    Examples:
      | text                        | load   |
      | 3,0,8                       | 3 of 8 |
      | 3,0,8,100                   | 3 of 8 |
      | 3,0,8,250,17                | 3 of 8 |
      | 3,0,8,soon                  | 3 of 8 |
      | ²,0,8                       | none   |
      | 3,0                         | none   |
      | 3,0,99999999999999999999999 | none   |

  # Guards against a placement that takes no account of a busy machine.
  Scenario Outline: A load of "<text>" says that work takes <slowdown> times as long
    Given an answer whose runner reports the load "<text>"
    Then the decoded slowdown is <slowdown>

    Examples:
      | text         | slowdown |
      | 3,0,8,100    | 1        |
      | 3,0,8,250,17 | 2.5      |
      | 3,0,8        | unknown  |
      | 3,0,8,0      | unknown  |
      | 3,0,8,-5     | unknown  |
      | 3,0,8,1e3    | unknown  |

  Scenario: Load reports with any further figures are read for those known
    Then each load report of counts and arbitrary further text gives the counts

  Scenario: A runner gets the fleet's headers and no hop-by-hop headers
    Given a caller's request that forges the fleet's headers
    Then the runner gets the caller's id, model, usage and prompt parts unchanged
    And the runner gets the account, the time left and its own id
    And the runner gets neither the key nor hop-by-hop headers
    And the runner gets none of the forged headers

  Scenario Outline: An answer with <head> is <taken>
    Given an answer with <head>
    Then the answer is <taken>

    Examples:
      | head                        | taken                      |
      | the request's id            | the request's own          |
      | another id                  | that of another request    |
      | no id and status 200        | that of another request    |
      | no id and status 500        | the request's own          |

  Scenario Outline: Status <status> <flag> means that the request was <run>
    Given an answer with status <status> <flag>
    Then the reply means that the request was <run>

    Examples:
      | status | flag         | run     |
      | 503    | and the mark | not run |
      | 429    | and the mark | not run |
      | 421    | alone        | not run |
      | 503    | alone        | run     |
      | 200    | alone        | run     |

  Scenario: The retry-after header of a refusal has fractions of a second
    Given a refusal with a retry delay of 400 ms
    Then its headers contain "retry-after" "0.400" and the request's id

  Scenario Outline: A limit of "<text>" requests per second is decoded as <limit>
    Given an answer whose runner limits its requests to "<text>" per second
    Then the decoded limit is <limit>

    Examples:
      | text | limit |
      | 1.2  | 1.2   |
      | 3    | 3     |
      | 0    | 0     |
      | none | none  |
      | many | none  |
      | nan  | none  |
      | -1   | none  |

  Scenario Outline: An announcement of leaving that is "<text>" is decoded as <decoded>
    Given an answer whose runner announces its leaving as "<text>"
    Then the answer is decoded as one of a runner that is <decoded>

    Examples:
      | text | decoded     |
      | 1    | leaving     |
      | 0    | not leaving |
      | none | not leaving |
      | soon | not leaving |

  Scenario Outline: A retry delay of "<text>" with status <status> is decoded as <pause>
    Given a runner's answer <status> with the retry delay '<text>'
    Then the decoded pause is <pause>

    Examples:
      | status | text                          | pause     |
      | 503    | 2                             | 2000 ms   |
      | 503    | 0.25                          | 250 ms    |
      | 503    | 7200                          | 7200000 ms |
      | 503    | 0                             | none      |
      | 503    | -1                            | none      |
      | 503    | nan                           | none      |
      | 503    | inf                           | none      |
      | 503    | Sat, 05 Dec 2026 02:00:00 GMT | none      |
      | 503    | none                          | none      |
      | 200    | 2                             | none      |
      | 429    | 2                             | none      |

  Scenario Outline: A brittle runner that names "<text>" tolerates <count> rejections
    Given an answer whose runner is brittle by "<text>"
    Then the runner tolerates <count> rejections per second

    Examples:
      | text                 | count |
      | 5                    | 5     |
      | 0                    | 0     |
      | none                 | any   |
      | many                 | any   |
      | -1                   | any   |
      | 2.5                  | any   |
      | 99999999999999999999 | any   |
