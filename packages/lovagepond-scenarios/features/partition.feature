Feature: A control leader behind a silent partition confirms nothing
  The leader is cut off without an error: its connections stay open. It accepts
  proposals that can't reach a majority, and could answer reads from a state
  that is hours old. The other hosts elect a new leader. When its lease expires,
  the old leader stops confirming changes and reads, and after the partition
  heals it replaces its log by the group's. An accepted change never reverts.

  Background:
    Given the control hosts "control-1, control-2, control-3" form a consensus group
    And the pool "offers" is accepted

  Scenario: The leader is cut off for ten minutes
    When the leader is cut off silently
    And the pool "old" is added at the cut-off host
    And a read arrives at the cut-off host
    And 10 seconds pass
    And the pool "new" is added at the leader
    And 600 seconds pass
    Then the change at the cut-off host was not accepted
    And the cut-off host answers no read and is no longer leader
    When the partition heals
    And 5 seconds pass
    Then every control host has the pools "offers, new"

  Scenario: The leader's messages arrive but it receives none
    When the leader receives no messages while its own still arrive
    And 10 seconds pass
    And the pool "new" is added at the leader
    And 5 seconds pass
    Then the cut-off host answers no read and is no longer leader
    When the partition heals
    And 5 seconds pass
    Then every control host has the pools "offers, new"

  Scenario: A host that was cut off reconnects without causing an election
    When a follower is cut off silently
    And 600 seconds pass
    And the partition heals
    And 5 seconds pass
    Then the leader is the same as before, in the same term

  Scenario: The leader is cut off while another host restarts
    When the leader is cut off silently
    And another host crashes
    And the pool "old" is added at the cut-off host
    And 10 seconds pass
    Then no control host is leader
    When the crashed host starts again
    And 10 seconds pass
    And the pool "new" is added at the leader
    And the partition heals
    And 5 seconds pass
    Then every control host has the pools "offers, new"

  Scenario: The partition returns as soon as it has healed
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
    When the sidecar of engine-1 restarts without any record of orders
    And the delayed order arrives at engine-1 twice
    And the sidecar of engine-1 receives the fencing floor from the leader
    And the delayed order arrives at engine-1 twice
    Then engine-1 has loaded only "offers-7"
