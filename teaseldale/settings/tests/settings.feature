Feature: Settings files are checked as a whole

  Scenario: Five mistakes are all named with file and field
    When a settings file with five mistakes is checked
    Then the exit status is 1 and standard error names each of them
      | field                 | allowed                       |
      | vm.name               | letters, digits, - and _      |
      | vm.callers_address    | an IP number and a port       |
      | platform.colour       | known here are table_url      |
      | limits.coalesce_ms    | not within 0 to 50            |
      | logs.format           | 'json', 'key_value'           |
    And nothing else is named

  Scenario: A file that is not TOML, or is missing, is named
    When a settings file that is not TOML is checked
    Then the exit status is 1 and standard error names the file
    When a settings file that does not exist is checked
    Then the exit status is 1 and standard error names the file

  Scenario: Wrong use of the command line ends with status 2
    Then each wrong use ends with status 2 and a usage text
      | arguments                  |
      | check                      |
      | check --settings           |
      | check --sittings x.toml    |
      | nonsense                   |
      | note                       |
      | budget topup drafting lots |
      | standin                    |
      | move takeback              |

  Scenario: A secret that cannot be read names its field and shows nothing
    When a VM is served whose operators key file is empty
    Then the exit status is 1 and standard error names vm.operators_key_file
