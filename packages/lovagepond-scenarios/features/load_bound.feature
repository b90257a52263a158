Feature: No engine is loaded beyond a set multiple of the mean load
  On the hour all kiosks resume their chats at the same time. Each router sends
  requests to engines with a warm context, based on loads that are a second old.
  A sidecar queues requests that would exceed its engine's bound, sidecars with
  room take over queued requests, and a request that can't be served in time is
  refused at once. An engine that accepted everything would slow down every
  shopper's answer at the same time.

  Scenario: All kiosks send requests on the hour, for chats of one engine
    Given a pool of 6 engines with a load bound of 1.5
    When 900 kiosks send a request within 1 second for chats of engine-1
    And 60 seconds pass
    Then no engine was ever loaded beyond the bound
    And every kiosk was answered once or refused with a retry time
    And at least 5 engines each did a tenth of the work

  Scenario: A burst arrives while the mean load is two seconds late
    Given a pool of 6 engines with a load bound of 1.3
    And the mean load arrives 2 seconds late
    When 600 kiosks send a request within 1 second for chats of engine-2
    And 60 seconds pass
    Then no engine was ever loaded beyond the bound
    And every kiosk was answered once or refused with a retry time

  Scenario: A second burst arrives while the first is still being served
    Given a pool of 6 engines with a load bound of 1.5
    When 600 kiosks send a request within 1 second for chats of engine-3
    And 3 seconds pass
    And 600 kiosks send a request within 1 second for chats of engine-3
    And 60 seconds pass
    Then no engine was ever loaded beyond the bound
    And every kiosk was answered once or refused with a retry time

  Scenario: A burst reaches a sidecar that has received no mean load yet
    Given engine-1 has just started and has received no mean load
    When 40 kiosks send a request to engine-1 at once
    Then engine-1 runs no more than its floor
