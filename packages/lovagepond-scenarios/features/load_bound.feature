Feature: No engine is loaded beyond a set multiple of the mean load
  On the hour every kiosk wakes and resumes its chat. Each router sends its
  share to where the contexts are warm, from loads that are a second old. A
  sidecar holds what would put its engine over the bound, others with room take
  it, and what can't be served in time is sent back at once: an engine that
  takes everything in would slow down every shopper's answer at the same time.

  Scenario: Every kiosk wakes on the hour, all for chats of one engine
    Given a pool of 6 engines with a load bound of 1.5
    When 900 kiosks wake within 1 second for chats of engine-1
    And 60 seconds pass
    Then no engine was ever loaded beyond the bound
    And every kiosk was answered once or told when to come back
    And at least 5 engines did a tenth of the work each

  Scenario: The wake comes while the mean load arrives two seconds late
    Given a pool of 6 engines with a load bound of 1.3
    And the mean load arrives 2 seconds late
    When 600 kiosks wake within 1 second for chats of engine-2
    And 60 seconds pass
    Then no engine was ever loaded beyond the bound
    And every kiosk was answered once or told when to come back

  Scenario: A second wake comes while the first is still being served
    Given a pool of 6 engines with a load bound of 1.5
    When 600 kiosks wake within 1 second for chats of engine-3
    And 3 seconds pass
    And 600 kiosks wake within 1 second for chats of engine-3
    And 60 seconds pass
    Then no engine was ever loaded beyond the bound
    And every kiosk was answered once or told when to come back

  Scenario: The wake meets a sidecar that has not heard of its pool yet
    Given engine-1 has just started and has heard of no other engine
    When 40 kiosks wake at engine-1 at once
    Then engine-1 runs no more than its floor
