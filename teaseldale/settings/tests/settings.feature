Feature: Validation of settings files

  Scenario: All five errors are reported with file and field
    When a settings file with five errors is checked
    Then the exit status is 1 and standard error reports each error
      | field                 | allowed                       |
      | vm.name               | letters, digits, - and _      |
      | vm.callers_address    | an IP number and a port       |
      | platform.colour       | known here are table_url      |
      | limits.coalesce_ms    | not within 0 to 50            |
      | logs.format           | 'json', 'key_value'           |
    And no other error is reported

  Scenario: The error for a missing or malformed file includes its path
    When a settings file with malformed TOML is checked
    Then the exit status is 1 and standard error starts with the file path
    When a settings file that does not exist is checked
    Then the exit status is 1 and standard error starts with the file path

  Scenario: Usage errors exit with status 2
    Then each command exits with status 2 and prints a usage text
      | arguments                  |
      | check                      |
      | check --settings           |
      | check --sittings x.toml    |
      | nonsense                   |
      | note                       |
      | budget topup drafting lots |
      | standin                    |
      | move takeback              |

  Scenario: The error for an unreadable secret includes the settings field
    When a VM is started with an empty operators key file
    Then the exit status is 1 and standard error starts with vm.operators_key_file
