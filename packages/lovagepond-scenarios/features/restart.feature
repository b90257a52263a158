Feature: Processes restart after missing hundreds of changes
  A router, a sidecar or a control host restarts without state, or with a
  configuration that is long out of date. If it accepted work by that state, it
  would serve requests that operators have since forbidden. It accepts none
  before control has confirmed a revision, and catches up from one snapshot
  instead of hundreds of changes.

  Background:
    Given three control members with control-1 as leader
    And 300 changes were accepted one after the other

  Scenario: A router and a sidecar restart
    When 1 router and 1 sidecar restart
    Then none of them accepts work yet
    When 1 second passes
    Then every router and sidecar holds revision 300 and accepts work
    And each of them received 1 configuration

  Scenario: A router and a sidecar restart while control has no majority
    When control-2 stops
    And control-3 stops
    And 1 router and 1 sidecar restart
    And 30 seconds pass
    Then none of them accepts work yet
    When control-2 restarts from a snapshot
    And 4 seconds pass
    Then every router and sidecar holds revision 300 and accepts work

  Scenario: A sidecar restarts and a router sends it an old revision first
    When 0 routers and 1 sidecar restart
    And a router sends revision 12 to every sidecar
    Then none of them accepts work yet
    When 1 second passes
    Then every router and sidecar holds revision 300 and accepts work

  Scenario: A control host restarts
    When control-2 stops
    And Anna adds the pool "chat" on revision 300
    And control-2 restarts from a snapshot
    Then control-2 holds revision 301 and replayed 0 changes
    When control-1 stops
    And Anna sends the same change again
    Then Anna's change was accepted as revision 301

  Scenario: A control host restarts again while it catches up
    When control-2 stops
    And Anna adds the pool "chat" on revision 300
    And control-2 restarts from a snapshot
    And control-2 stops
    And Birgir adds the pool "notices" on revision 301
    And control-2 restarts from a snapshot
    Then control-2 holds revision 302 and replayed 0 changes
