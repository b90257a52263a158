Feature: A second host can be lost right after a repair
  A control host's disk is lost, a new host takes its place, and at once another
  host is lost for good. A change that operators were told is accepted, or a
  claim that was granted, would be gone if the new host counted before it held
  them. So it gets its vote only when it has caught up, and an emptied disk
  never votes as if it remembered.

  Background:
    Given the control hosts "control-1, control-2, control-3" agree
    And 150 changes are accepted

  Scenario: The leader is lost as soon as the new host has its vote
    When control-3 is lost with its disk
    And control-4 takes the place of control-3
    And the leader is lost with its disk
    And 10 seconds pass
    Then the leader has all accepted changes
    And another change is accepted

  Scenario: The new host has not caught up when it is to get its vote
    When control-3 is lost with its disk
    And control-4 joins and hears nothing yet
    Then control-4 is refused its vote as "notCaughtUp"

  Scenario: A host comes back with an empty disk, and another one is lost
    When control-3 comes back with an empty disk
    And a host other than control-3 is lost with its disk
    And 30 seconds pass
    Then no control host leads
    And no control host was elected in between
    And no accepted change is missing on the host that is left

  Scenario: The new host crashes while it catches up, and again
    When control-3 is lost with its disk
    And control-4 joins
    And control-4 crashes and starts again at once
    And 1 second passes
    And control-4 crashes and starts again at once
    And 5 seconds pass
    And control-4 gets its vote and control-3 leaves
    And the leader is lost with its disk
    And 10 seconds pass
    Then the leader has all accepted changes
    And another change is accepted
