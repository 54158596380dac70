Feature: Parts of prompts that crash the runners that answer them

  # Guards against a part that ends one runner after another, in prompts of which
  # no two are alike.
  Scenario Outline: A part that crashes runners is held back by <vms> VMs before <runners> runners, "<kind>"
    Given <vms> VMs that forward "<kind>" prompts to <runners> runners
    And the first event of an answer comes <first_event> ms after its beginning
    When 60 sound prompts/s and 4 prompts/s with a bad part are sent for 20 s
    Then at most 3 bad prompts reach runners from the contact time after the fifth crash on
    And they crash at most 5 runners
    And no sound prompt is refused as one that crashes runners
    And at least 0.9 of the sound prompts begin at the first attempt once the part is held back
    And every refusal of a bad prompt that denies a run is true

    Examples:
      | vms | runners | kind      | first_event |
      | 8   | 12      | stream    | 120         |
      | 8   | 12      | resumable | 120         |
      | 8   | 12      | stream    | 20          |
      | 80  | 45      | resumable | 120         |

  # Guards against a part that counts as sound for what it was before.
  Scenario: A part that crashes runners after it has been answered for a while is held back
    Given 8 VMs that forward "stream" prompts to 12 runners
    And the bad part crashes runners from 5 s on
    When 60 sound prompts/s and 4 prompts/s with a bad part are sent for 20 s
    Then at most 3 bad prompts reach runners from the contact time after the fifth crash on
    And no sound prompt is refused as one that crashes runners

  # Guards against crashes of one cause that are put down to another.
  Scenario: Two bad parts and a bad request at the same time are held back
    Given 8 VMs that forward "stream" prompts to 12 runners
    When 60 sound prompts/s, prompts with two bad parts and a bad request are sent for 30 s
    Then at most 3 prompts with each bad part reach runners from the contact time after its fifth crash on
    And no sound prompt is refused as one that crashes runners

  # Guards against sound parts that are held back for crashes without a cause, alone
  # and beside a bad part.
  Scenario Outline: Sound prompts are served while <share> of the runners crash every 4 s, with <bad> bad prompts/s
    Given 8 VMs that forward "<kind>" prompts to 12 runners
    When 60 sound prompts/s and <bad> prompts/s with a bad part are sent for 24 s while <share> of the runners crash every 4 s
    Then no sound prompt is refused as one that crashes runners

    Examples:
      | kind      | share | bad |
      | stream    | 0.15  | 0   |
      | resumable | 0.7   | 0   |
      | stream    | 0.15  | 4   |

  # Guards against the same from the first second on, when no part has been answered.
  @known_red
  Scenario: Sound prompts are served although most runners crash beside a bad part
    Given 8 VMs that forward "resumable" prompts to 12 runners
    When 60 sound prompts/s and 4 prompts/s with a bad part are sent for 24 s while 0.7 of the runners crash every 4 s
    Then no sound prompt is refused as one that crashes runners

  # Guards against evidence that ends with the VMs that gathered it.
  Scenario: A VM that starts later holds a bad part back
    Given 8 VMs that forward "stream" prompts to 12 runners
    When prompts with a bad part come at a VM that started after the fifth crash
    Then at most 3 bad prompts reach runners from the contact time after the fifth crash on
    And they crash at most 5 runners
