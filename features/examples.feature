Feature: The example settings and release notes are valid

  Scenario: Settings and first notes of both fleets are valid and consistent
    Then the examples of each fleet are consistent
      | fleet       | zones                 | vms | accounts | upstreams                 |
      | ben-salah   | mill, port, office    | 8   | 10       | drafts 6, order-desk 3    |
      | jumta-sargi | centrs, teika, imanta | 8   | 10       | assistant 9, bookings 3   |

  Scenario: A fleet accepts the first note of each example
    Then a fleet that starts with the first note of ben-salah becomes ready
    And a fleet that starts with the first note of jumta-sargi becomes ready
