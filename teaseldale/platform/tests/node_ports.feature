Feature: Ports of a VM that runs as a process in tests

  # Guards against a VM under test that cannot listen because one of its ports
  # has been drawn twice: the kernel may offer a port again once it is free.
  Scenario: A VM that runs as a process has ports that differ
    Given a kernel that offers the lowest free port
    When the ports of a VM that runs as a process are drawn
    Then its addresses and its range have six different ports

  Scenario: The range of a VM lies where both of its ports are free
    Given a kernel that offers the lowest free port, and that has the sixth one in use
    When the ports of a VM that runs as a process are drawn
    Then its addresses and its range have six different ports
    And none of them is in use
