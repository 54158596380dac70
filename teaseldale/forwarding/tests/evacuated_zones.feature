Feature: Runners of evacuated availability zones

  # Guards against prompts that are fetched from a runner of an evacuated zone,
  # which then works for the request although it is not sent to it.
  Scenario: A cached prompt is not fetched from a runner of an evacuated zone
    Given a runner in zone "z-0" that caches a prompt which a runner in zone "z-1" gets
    Then the prompt is fetched from the runner in zone "z-0"
    When zone "z-0" is evacuated
    Then the prompt is fetched from no runner
    When no zone is evacuated
    Then the prompt is fetched from the runner in zone "z-0"

  # Guards against VMs that relay requests of others to an evacuated zone.
  Scenario: No tunnel is opened to a runner of an evacuated zone
    Given a runner in zone "z-0" that caches a prompt which a runner in zone "z-1" gets
    When zone "z-0" is evacuated
    Then only the runner in zone "z-1" is relayed to

  # Guards against streams that are resumed in an evacuated zone.
  Scenario: A stream that breaks off is not resumed in an evacuated zone
    Given a runner in zone "z-0" that caches a prompt which a runner in zone "z-1" gets
    When a request selects a runner and the zone of the other runner is evacuated
    Then the request finds no other runner
