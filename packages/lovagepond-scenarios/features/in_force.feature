Feature: An accepted configuration is in force on every router and never reverts
  An operator's change is accepted. Routers and sidecars receive it from the
  control member to which they are subscribed; meanwhile connections go silent,
  members stop, old messages arrive late, and some routers reach no member at
  all. A router that kept the old configuration, or reverted to it, would send
  requests where the change forbids it.

  Background:
    Given three control members with control-1 as leader
    And the pool "offers" was accepted as revision 1
    And 60 routers and 20 sidecars are subscribed to control

  Scenario: Every router and sidecar holds an accepted change within seconds
    When Anna adds the pool "chat" on revision 1
    And 4 seconds pass
    Then every router and sidecar holds revision 2 and accepts work

  Scenario: A third of the connections to control have gone silent
    When a third of the connections to control go silent
    And Anna adds the pool "chat" on revision 1
    And 4 seconds pass
    Then every router and sidecar holds revision 2 and accepts work

  Scenario: The leader stops right after the change while connections are silent
    When a third of the connections to control go silent
    And Anna adds the pool "chat" on revision 1
    And control-1 stops
    And 4 seconds pass
    Then every router and sidecar holds revision 2 and accepts work

  Scenario: The connections go silent again after reconnecting
    When a third of the connections to control go silent
    And 4 seconds pass
    And a third of the connections to control go silent
    And Anna adds the pool "chat" on revision 1
    And 4 seconds pass
    Then every router and sidecar holds revision 2 and accepts work

  Scenario: Old configurations arrive late and twice
    When Anna adds the pool "chat" on revision 1
    And 4 seconds pass
    And revision 1 arrives late and twice at every router and sidecar
    Then every router and sidecar holds revision 2 and accepts work

  Scenario: A router without a connection to control uses an older revision
    Given engine-1 uses revision 2 and the router uses revision 1
    When the router sends request "a" to engine-1
    Then "a" was reported as not run
    And the router was refused for its stale revision
    When the router adopts the revision of engine-1
    And the router sends request "b" to engine-1
    And 10 seconds pass
    Then "b" was completed by engine-1
    And "a" ran 0 times

  Scenario: A sidecar without a connection to control uses an older revision
    Given engine-1 uses revision 1 and the router uses revision 2
    When the router sends request "a" to engine-1
    Then "a" was reported as not run
    When engine-1 adopts the revision of the router
    And the router sends request "b" to engine-1
    And 10 seconds pass
    Then "b" was completed by engine-1
    And "a" ran 0 times
