Feature: A request that is reported as not run was never run
  A router revokes a request, or a sidecar refuses it; the caller receives "not
  run" and sends the request elsewhere. If the first copy ran after all, through
  a dispatch at the same moment, a late copy or a lost answer, the work and its
  effects would be done twice. So only the sidecar's gate decides between revoke
  and dispatch, and silence never counts as "not run".

  Scenario: A request is revoked at the moment in which it could start
    Given engine-1 runs request "a" and holds request "b"
    When the router revokes "b"
    And engine-1 finishes "a" at the same moment
    Then "b" was reported as not run
    And "b" ran 0 times

  Scenario: A request is revoked just after it started
    Given engine-1 runs request "a" and holds request "b"
    When engine-1 finishes "a" at the same moment
    And the router revokes "b"
    Then the router's revoke of "b" was answered as dispatched
    And "b" ran 1 time

  Scenario: A revoked request arrives late, twice
    Given engine-1 has received no request yet
    When the router revokes "late"
    And "late" arrives at engine-1
    And "late" arrives at engine-1
    And 10 seconds pass
    Then "late" was reported as not run
    And "late" ran 0 times

  Scenario: A held request never gets its turn
    Given engine-1 runs request "a" and holds request "b"
    And engine-1 never finishes what it runs
    When 20 seconds pass
    Then "b" was reported as not run within 8 seconds
    And "b" ran 0 times

  Scenario: A sidecar goes silent after it was sent the request
    Given a shopper's request is sent to engine-1
    When engine-1 is silent on every connection until the deadline
    Then the shopper receives an error that the request may have run

  Scenario: A late refusal arrives after the request has started
    Given a shopper's request is sent to engine-1
    And the engine's answer is "Two pretzels for the price of one until noon"
    When engine-1 reports that it has started
    And a late refusal of the same attempt arrives
    Then no other server receives the request
    When these pieces arrive: 1, 2, 3
    And the end of the answer arrives
    Then the shopper has received the whole answer once

  Scenario: A late refusal arrives during the answer
    Given a shopper's request is sent to engine-1
    And the engine's answer is "Two pretzels for the price of one until noon"
    When engine-1 reports that it has started
    And these pieces arrive: 1
    And a late refusal of the same attempt arrives
    Then no other server receives the request
    When these pieces arrive: 2, 3
    And the end of the answer arrives
    Then the shopper has received the whole answer once

  Scenario: The sidecar finds that its engine never received the request
    Given a shopper's request is sent to engine-1
    And the engine's answer is "Two pretzels for the price of one until noon"
    When engine-1 reports that it has started
    And the sidecar reports that its engine never received the request
    Then engine-2 receives the request again
    When engine-2 reports that it has started
    And these pieces arrive: 1, 2, 3
    And the end of the answer arrives
    Then the shopper has received the whole answer once

  Scenario: The other servers refuse after the first may have run the request
    Given a shopper's request is sent to engine-1
    When engine-1 reports that it has started
    And engine-1 fails
    And every other server refuses the request
    Then the shopper receives an error that the request may have run
