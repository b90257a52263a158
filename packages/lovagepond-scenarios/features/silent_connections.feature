Feature: Open connections go silent for good while new ones work
  A device between router and sidecar loses track of a connection: no data
  arrives, no error occurs, and a new connection works at once. A router that
  blamed the server would leave the warm context; one that kept waiting would
  delay the caller until the deadline. So the router opens a new connection, and
  the sidecar, which still has the attempt, continues it there.

  Background:
    Given a shopper's request is sent to engine-1
    And the engine's answer is "Two pretzels for the price of one until noon"

  Scenario: The connection falls silent in the middle of the answer
    When engine-1 reports that it has started
    And these pieces arrive: 1
    And the connection stays silent for 4 seconds
    Then the request resumes after piece 1 over a new connection
    When these pieces arrive: 2, 3
    And the end of the answer arrives
    Then the shopper has received the whole answer once

  Scenario: The new connection falls silent as well
    When engine-1 reports that it has started
    And these pieces arrive: 1
    And the connection stays silent for 4 seconds
    And these pieces arrive: 2
    And the connection stays silent for 4 seconds
    Then the request resumes after piece 2 over a new connection
    When these pieces arrive: 3
    And the end of the answer arrives
    Then the shopper has received the whole answer once

  Scenario: The connection was silent from the start and the request never arrived
    When the connection stays silent for 2 seconds
    And the sidecar reports over a new connection that it revoked the request
    Then engine-1 receives the request again
    When engine-1 reports that it has started
    And these pieces arrive: 1, 2, 3
    And the end of the answer arrives
    Then the shopper has received the whole answer once

  Scenario: The silent connection had delivered the request
    When the connection stays silent for 2 seconds
    And the sidecar reports over a new connection that it dispatched the request
    Then the request resumes from its beginning over a new connection
    And no other server receives the request
