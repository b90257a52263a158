Feature: A control host behind a silent partition still believes it is in charge
  The leader is cut off and nobody is told: its connections stay open. It takes
  changes in that no majority will ever hold, and might answer from a state that
  is hours old. The others elect a new leader; the old one knows by the end of
  its lease that it can't speak for the group, confirms nothing, and takes the
  group's log over when it is back. What was accepted never reverts.

  Background:
    Given the control hosts "control-1, control-2, control-3" agree
    And the pool "offers" is accepted

  Scenario: The leader is cut off for ten minutes
    When the leader is cut off silently
    And the pool "old" is added at the cut-off host
    And a read arrives at the cut-off host
    And 10 seconds pass
    And the pool "new" is added at the leader
    And 600 seconds pass
    Then the change at the cut-off host was not accepted
    And the cut-off host answers no read and leads no more
    When the partition heals
    And 5 seconds pass
    Then every control host has the pools "offers, new"

  Scenario: The leader's messages get out, and none come in
    When the leader hears nothing while the others hear it
    And 10 seconds pass
    And the pool "new" is added at the leader
    And 5 seconds pass
    Then the cut-off host answers no read and leads no more
    When the partition heals
    And 5 seconds pass
    Then every control host has the pools "offers, new"

  Scenario: A host that was cut off comes back and disturbs nobody
    When a host that doesn't lead is cut off silently
    And 600 seconds pass
    And the partition heals
    And 5 seconds pass
    Then the leader is the same as before, in the same term

  Scenario: The leader is cut off while another host restarts
    When the leader is cut off silently
    And another host crashes
    And the pool "old" is added at the cut-off host
    And 10 seconds pass
    Then no control host leads
    When the crashed host starts again
    And 10 seconds pass
    And the pool "new" is added at the leader
    And the partition heals
    And 5 seconds pass
    Then every control host has the pools "offers, new"

  Scenario: The partition comes back as soon as it has healed
    When the leader is cut off silently
    And 10 seconds pass
    And the pool "new" is added at the leader
    And the partition heals
    And 1 second passes
    And the leader is cut off silently
    And the pool "lost" is added at the cut-off host
    And 10 seconds pass
    And the pool "newer" is added at the leader
    And the partition heals
    And 5 seconds pass
    Then every control host has the pools "offers, new, newer"

  Scenario: A deposed leader's order arrives late and twice
    When the leader orders engine-1 to load "offers-6" and the order is delayed
    And the leader is cut off silently
    And 10 seconds pass
    And the leader orders engine-1 to load "offers-7"
    Then engine-1 loads "offers-7"
    When the delayed order arrives at engine-1 twice
    Then engine-1 has loaded only "offers-7"

  Scenario: The sidecar restarts before the deposed leader's order arrives
    When the leader orders engine-1 to load "offers-6" and the order is delayed
    And the leader is cut off silently
    And 10 seconds pass
    And the leader orders engine-1 to load "offers-7"
    Then engine-1 loads "offers-7"
    When the sidecar of engine-1 restarts and knows no order
    And the delayed order arrives at engine-1 twice
    And the sidecar of engine-1 learns the floor from the leader
    And the delayed order arrives at engine-1 twice
    Then engine-1 has loaded only "offers-7"
