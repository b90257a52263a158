Feature: An accepted configuration is in force on every router and never reverts
  An operator is told that a change is accepted. Routers and sidecars hear of it
  from whatever control member they are subscribed to; connections go silent,
  members stop, old messages come late, some routers reach no member at all. A
  router that kept the old configuration would send requests where the change
  has forbidden it, and one that went back would do so again.

  Background:
    Given three control members with control-1 as leader
    And the pool "offers" was accepted as revision 1
    And 60 routers and 20 sidecars are subscribed to control

  Scenario: Every router and sidecar holds an accepted change within seconds
    When Anna adds the pool "chat" on revision 1
    And 4 seconds pass
    Then every router and sidecar holds revision 2 and takes work

  Scenario: A third of the connections to control have gone silent
    When a third of the connections to control go silent
    And Anna adds the pool "chat" on revision 1
    And 4 seconds pass
    Then every router and sidecar holds revision 2 and takes work

  Scenario: The leader stops right after the change, and connections go silent
    When a third of the connections to control go silent
    And Anna adds the pool "chat" on revision 1
    And control-1 stops
    And 4 seconds pass
    Then every router and sidecar holds revision 2 and takes work

  Scenario: The connections go silent again after they came back
    When a third of the connections to control go silent
    And 4 seconds pass
    And a third of the connections to control go silent
    And Anna adds the pool "chat" on revision 1
    And 4 seconds pass
    Then every router and sidecar holds revision 2 and takes work

  Scenario: Old configurations arrive late and twice
    When Anna adds the pool "chat" on revision 1
    And 4 seconds pass
    And revision 1 arrives late and twice at every router and sidecar
    Then every router and sidecar holds revision 2 and takes work

  Scenario: A router that control can't reach works with an older revision
    Given engine-1 works with revision 2 and a router with revision 1
    When the router sends request "a" to engine-1
    Then "a" was answered as not run
    And the router was told that its revision is stale
    When the router takes over the revision of engine-1
    And the router sends request "b" to engine-1
    And 10 seconds pass
    Then "b" was completed by engine-1
    And "a" ran 0 times

  Scenario: A sidecar that control can't reach works with an older revision
    Given engine-1 works with revision 1 and a router with revision 2
    When the router sends request "a" to engine-1
    Then "a" was answered as not run
    When engine-1 takes over the revision of the router
    And the router sends request "b" to engine-1
    And 10 seconds pass
    Then "b" was completed by engine-1
    And "a" ran 0 times
