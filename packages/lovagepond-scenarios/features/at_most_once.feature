Feature: A call that may not be repeated runs at most once
  A redemption check is sent through one router, its answer is lost, and the
  caller sends the check again through another router. Before the dispatch one
  sidecar claims the check's key in the ledger. A repeat gets the recorded
  answer, or an error that the call is still running or that its outcome is
  unknown. It is never dispatched again, as that would redeem a voucher twice.

  Background:
    Given three control members with control-1 as leader
    And the redemption service runs at till-1 and till-2

  Scenario: Two routers send the same check at once
    When the check "voucher-7" is sent to till-1
    And the check "voucher-7" is sent to till-2
    And 10 seconds pass
    Then the check "voucher-7" ran 1 time at the service
    And the second attempt was answered as "inProgress"

  Scenario: A repeat after completion gets the recorded answer
    When the check "voucher-7" is sent to till-1
    And 10 seconds pass
    And the check "voucher-7" is sent to till-2
    And 10 seconds pass
    Then the check "voucher-7" ran 1 time at the service
    And the second attempt was answered as "recorded"

  Scenario: The same attempt is delivered twice, and a third time late
    When the check "voucher-7" is sent to till-1
    And the first attempt is delivered to till-1 again
    And 10 seconds pass
    And the first attempt is delivered to till-1 again
    And 10 seconds pass
    Then the check "voucher-7" ran 1 time at the service

  Scenario: The sidecar restarts after the dispatch
    When the check "voucher-7" is sent to till-1
    And the sidecar of till-1 restarts
    And the check "voucher-7" is sent to till-2
    And 10 seconds pass
    Then the check "voucher-7" ran 1 time at the service
    And the second attempt was answered as "outcomeUnknown"

  Scenario: The ledger's answer to the claim is lost once
    When the check "voucher-7" is sent to till-1 and the ledger's first answer is lost
    And 10 seconds pass
    Then the check "voucher-7" ran 1 time at the service

  Scenario: The ledger's answers are lost until the sidecar gives up
    When the check "voucher-7" is sent to till-1 and all of the ledger's answers are lost
    Then the first attempt was reported as not run
    And the check "voucher-7" ran 0 times at the service
    When the check "voucher-7" is sent to till-2
    And 10 seconds pass
    Then the check "voucher-7" ran 1 time at the service

  Scenario: The claim arrives after the call was refused
    When the check "voucher-7" is sent to till-1 and its claim is delayed
    Then the first attempt was reported as not run
    When the delayed claim arrives
    And the check "voucher-7" is sent to till-2
    And 10 seconds pass
    Then the check "voucher-7" ran 1 time at the service

  Scenario: The leader changes between the claim and the record
    When the check "voucher-7" is sent to till-1
    And control-1 stops
    And 10 seconds pass
    And the check "voucher-7" is sent to till-2
    And 10 seconds pass
    Then the check "voucher-7" ran 1 time at the service
    And the second attempt was answered as "recorded"

  Scenario: The leader changes and the sidecar restarts
    When the check "voucher-7" is sent to till-1
    And control-1 stops
    And the sidecar of till-1 restarts
    And the check "voucher-7" is sent to till-2
    And the sidecar of till-1 restarts
    And the check "voucher-7" is sent to till-1
    And 10 seconds pass
    Then the check "voucher-7" ran 1 time at the service
    And the second attempt was answered as "outcomeUnknown"

  Scenario: The caller disconnects while its check runs
    When the check "voucher-7" is sent to till-1
    And the caller of the first attempt disconnects
    And 10 seconds pass
    And the check "voucher-7" is sent to till-2
    Then the service cancelled no running call
    And the second attempt was answered as "recorded"
