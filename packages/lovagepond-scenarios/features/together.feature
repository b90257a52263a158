Feature: Several faults occur together or repeatedly
  The hourly burst reaches a draining server, a workspace surges during it, or a
  connection goes silent just as its sidecar restarts. Each fault alone has a
  safeguard, but together one fault could defeat another's: requests that a
  draining server refuses could overload the other servers, and a reconnect
  could run a request twice.

  Scenario: All kiosks send requests while their preferred engine is draining
    Given a pool of 6 engines with a load bound of 1.5
    When engine-1 starts draining with a time limit of 60 seconds
    And 600 kiosks send a request within 1 second for chats of engine-1
    And 60 seconds pass
    Then no engine was ever loaded beyond the bound
    And every kiosk was answered once or refused with a retry time
    And engine-1 ran nothing

  Scenario: Two engines start draining one after the other during a burst
    Given a pool of 6 engines with a load bound of 1.5
    When 600 kiosks send a request within 2 seconds for chats of engine-1
    And 1 second passes
    And engine-1 starts draining with a time limit of 30 seconds
    And 1 second passes
    And engine-2 starts draining with a time limit of 30 seconds
    And 60 seconds pass
    Then no engine was ever loaded beyond the bound
    And every kiosk was answered once or refused with a retry time
    And no engine cancelled a running request

  Scenario: The connection goes silent, and the sidecar restarts
    Given a shopper's request is sent to engine-1
    And the engine's answer is "Two pretzels for the price of one until noon"
    When engine-1 reports that it has started
    And these pieces arrive: 1
    And the connection stays silent for 4 seconds
    And the restarted sidecar refuses the attempt of its former incarnation
    Then the shopper receives an error that the request may have run
    And no other server receives the request

  Scenario: The sidecar restarts before the request reaches it
    Given a shopper's request is sent to engine-1
    And the engine's answer is "Two pretzels for the price of one until noon"
    When the restarted sidecar refuses the attempt of its former incarnation
    And engine-2 reports that it has started
    And these pieces arrive: 1, 2, 3
    And the end of the answer arrives
    Then the shopper has received the whole answer once
