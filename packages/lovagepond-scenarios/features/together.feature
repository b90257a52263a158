Feature: Any of these may come at any moment, together or twice
  The hourly wake meets a server that leaves, a workspace surges into it, a
  connection goes silent just as its sidecar restarts. Each fault alone has its
  safeguard; together one could undo another's: what a leaving server refuses
  could overload the rest, and a reconnection could run a request twice.

  Scenario: Every kiosk wakes while the engine that they want is leaving
    Given a pool of 6 engines with a load bound of 1.5
    When engine-1 starts to leave with a limit of 60 seconds
    And 600 kiosks wake within 1 second for chats of engine-1
    And 60 seconds pass
    Then no engine was ever loaded beyond the bound
    And every kiosk was answered once or told when to come back
    And engine-1 ran nothing

  Scenario: An engine leaves in the middle of the wake, and another one after it
    Given a pool of 6 engines with a load bound of 1.5
    When 600 kiosks wake within 2 seconds for chats of engine-1
    And 1 second passes
    And engine-1 starts to leave with a limit of 30 seconds
    And 1 second passes
    And engine-2 starts to leave with a limit of 30 seconds
    And 60 seconds pass
    Then no engine was ever loaded beyond the bound
    And every kiosk was answered once or told when to come back
    And nothing that any engine ran was cancelled

  Scenario: The connection goes silent, and the sidecar restarts behind it
    Given a shopper's request is given to engine-1
    And the engine's answer is "Two pretzels for the price of one until noon"
    When engine-1 says that it has started
    And these pieces arrive: 1
    And the connection stays silent for 4 seconds
    And the restarted sidecar refuses the attempt of its former self
    Then the shopper is told that the request may have run
    And no other server is given the request

  Scenario: The sidecar restarts before the request reached it
    Given a shopper's request is given to engine-1
    And the engine's answer is "Two pretzels for the price of one until noon"
    When the restarted sidecar refuses the attempt of its former self
    And engine-2 says that it has started
    And these pieces arrive: 1, 2, 3
    And the end arrives
    Then the shopper has the whole answer once
