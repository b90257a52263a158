Feature: Everyone receives the whole answer to their own request
  Answers arrive in pieces over connections that repeat or mix up pieces, break
  off and resume, and from attempts that were abandoned. A shopper who received
  another shopper's piece, half an answer that looks whole, or halves of two
  generations would act on a text that no engine wrote. So pieces carry attempt,
  incarnation and offset, the end carries the length, and everything else is
  ignored.

  Background:
    Given a shopper's request is sent to engine-1
    And the engine's answer is "Two pretzels for the price of one until noon"

  Scenario: Pieces arrive twice and overlapping
    When engine-1 reports that it has started
    And these pieces arrive: 1, 1, 2, 1, 3, 2, 3
    And the end of the answer arrives
    Then the shopper has received the whole answer once

  Scenario: A piece is lost and the answer resumes from there
    When engine-1 reports that it has started
    And these pieces arrive: 1, 3
    Then the request resumes after piece 1 over a new connection
    When these pieces arrive: 2, 3
    And the end of the answer arrives
    Then the shopper has received the whole answer once

  Scenario: The answer ends early
    When engine-1 reports that it has started
    And these pieces arrive: 1, 2
    And the end of the answer arrives
    Then the shopper has not received a whole answer
    And the request resumes after piece 2 over a new connection

  Scenario: Another shopper's piece arrives on the connection
    When engine-1 reports that it has started
    And these pieces arrive: 1
    And a piece of another request's attempt arrives
    And these pieces arrive: 2, 3
    And the end of the answer arrives
    Then the shopper has received the whole answer once

  Scenario: The first server's answer arrives late while the second one answers
    When engine-1 fails before it started
    And engine-2 reports that it has started
    And piece 1 of the former attempt arrives late
    And these pieces arrive: 1, 2, 3
    And the end of the answer arrives
    Then the shopper has received the whole answer once

  Scenario: The sidecar restarts in the middle of the answer
    When engine-1 reports that it has started
    And these pieces arrive: 1
    And the sidecar restarts and sends piece 2 of a new generation
    Then the shopper has received nothing of the new generation

  Scenario: The engine is lost in the middle of the answer
    When engine-1 reports that it has started
    And these pieces arrive: 1
    And engine-1 fails
    Then the shopper receives an error that the request may have run
    And no other server receives the request
