Feature: When the system says "not run", it truly was not run
  A router takes a request back, or a sidecar refuses it; the caller reads that
  it was not run and asks again elsewhere. If the first copy ran after all, by
  a dispatch in the same instant, a late copy or a lost answer, the work would
  be done twice and its effects with it. So one place decides between take-back
  and dispatch, and silence is never read as "not run".

  Scenario: A request is taken back in the instant in which it could start
    Given engine-1 runs request "a" and holds request "b"
    When the router takes "b" back
    And engine-1 finishes "a" in the same instant
    Then "b" was answered as not run
    And "b" ran 0 times

  Scenario: A request is taken back just after it started
    Given engine-1 runs request "a" and holds request "b"
    When engine-1 finishes "a" in the same instant
    And the router takes "b" back
    Then the router was told that "b" was dispatched
    And "b" ran 1 time

  Scenario: A request that was taken back arrives late, twice
    Given engine-1 has taken nothing yet
    When the router takes "late" back
    And "late" arrives at engine-1
    And "late" arrives at engine-1
    And 10 seconds pass
    Then "late" was answered as not run
    And "late" ran 0 times

  Scenario: A held request that never gets its turn
    Given engine-1 runs request "a" and holds request "b"
    And engine-1 never finishes what it runs
    When 20 seconds pass
    Then "b" was answered as not run within 8 seconds
    And "b" ran 0 times

  Scenario: A sidecar goes silent after it was given the request
    Given a shopper's request is given to engine-1
    When engine-1 is silent on every connection until the deadline
    Then the shopper is told that the request may have run

  Scenario: A refusal crosses with the start of the same request
    Given a shopper's request is given to engine-1
    And the engine's answer is "Two pretzels for the price of one until noon"
    When engine-1 says that it has started
    And a late refusal of the same attempt arrives
    Then no other server is given the request
    When these pieces arrive: 1, 2, 3
    And the end arrives
    Then the shopper has the whole answer once

  Scenario: A refusal crosses with the answer of the same request
    Given a shopper's request is given to engine-1
    And the engine's answer is "Two pretzels for the price of one until noon"
    When engine-1 says that it has started
    And these pieces arrive: 1
    And a late refusal of the same attempt arrives
    Then no other server is given the request
    When these pieces arrive: 2, 3
    And the end arrives
    Then the shopper has the whole answer once

  Scenario: The sidecar finds that its server never got the request
    Given a shopper's request is given to engine-1
    And the engine's answer is "Two pretzels for the price of one until noon"
    When engine-1 says that it has started
    And the sidecar says that its server never got the request
    Then engine-2 is given the request again
    When engine-2 says that it has started
    And these pieces arrive: 1, 2, 3
    And the end arrives
    Then the shopper has the whole answer once

  Scenario: The second server refuses after the first may have run it
    Given a shopper's request is given to engine-1
    When engine-1 says that it has started
    And engine-1 fails
    And every other server refuses the request
    Then the shopper is told that the request may have run
