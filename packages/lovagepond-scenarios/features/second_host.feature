Feature: A second host can be lost right after a repair
  A control host's disk is lost, a new host replaces it, and at once another
  host is lost for good. If the new host were a voter before it held the whole
  log, an accepted change or a granted claim could be lost. So it becomes a
  voter only after it has caught up, and a host with an emptied disk never votes
  under its former identity.

  Background:
    Given the control hosts "control-1, control-2, control-3" form a consensus group
    And 150 changes are accepted

  Scenario: The leader is lost as soon as the new host is a voter
    When control-3 is lost with its disk
    And control-4 replaces control-3 as a voter
    And the leader is lost with its disk
    And 10 seconds pass
    Then the leader has all accepted changes
    And another change is accepted

  Scenario: The new host has not caught up when it is promoted to voter
    When control-3 is lost with its disk
    And control-4 joins but receives no messages yet
    Then the promotion of control-4 to voter is refused as "notCaughtUp"

  Scenario: A host returns with an empty disk, and another one is lost
    When control-3 comes back with an empty disk
    And a host other than control-3 is lost with its disk
    And 30 seconds pass
    Then no control host is leader
    And no control host was elected meanwhile
    And no accepted change is missing on the remaining host

  Scenario: The new host crashes repeatedly while it catches up
    When control-3 is lost with its disk
    And control-4 joins
    And control-4 crashes and starts again at once
    And 1 second passes
    And control-4 crashes and starts again at once
    And 5 seconds pass
    And control-4 becomes a voter and control-3 is removed
    And the leader is lost with its disk
    And 10 seconds pass
    Then the leader has all accepted changes
    And another change is accepted
