Feature: Engines join, leave and flap
  There is no list of backend servers: each announces itself once a second. One
  that falls silent must leave every router's list in seconds; one that comes
  and goes must not drag chats along each time; and when many fall silent at
  once the network is the likelier cause, and an emptied list would refuse every
  caller although the servers are well.

  Background:
    Given 12 engines announce themselves each second

  Scenario: An engine joins and another one leaves without a word
    When engine-13 starts to announce itself
    And engine-4 falls silent
    And 5 seconds pass
    Then engine-13 is in the list as "ready"
    And engine-4 is not in the list
    And 12 engines are in the list as "ready"

  Scenario: An engine says that it is leaving
    When engine-4 announces that it is leaving
    And 1 second passes
    Then engine-4 is in the list as "draining"
    And 11 engines are in the list as "ready"

  Scenario: An operator drains an engine that goes on announcing itself
    When an operator drains engine-4
    And 2 seconds pass
    Then engine-4 is in the list as "draining"
    And 11 engines are in the list as "ready"

  Scenario: One engine restarts again and again
    When engine-4 restarts 4 times within 20 seconds
    Then engine-4 is in the list as "joining"
    And 11 engines are in the list as "ready"
    When 60 seconds pass
    Then engine-4 is in the list as "ready"

  Scenario: It restarts again as soon as it is let in
    When engine-4 restarts 4 times within 20 seconds
    And 60 seconds pass
    And engine-4 restarts 4 times within 20 seconds
    Then engine-4 is in the list as "joining"
    When 60 seconds pass
    Then engine-4 is in the list as "ready"
    And 12 engines are in the list as "ready"

  Scenario: Most engines flap at the same time
    When the engines 1 to 9 restart 4 times within 20 seconds
    Then at least 6 engines are in the list as "ready"
    And at most 9 engines are in the list as "ready"

  Scenario: Most engines fall silent at once
    When the engines 1 to 9 fall silent
    And 8 seconds pass
    Then 12 engines are in the list as "ready"

  Scenario: A rack with a third of the engines fails at once
    When the engines 1 to 4 fall silent
    And 5 seconds pass
    Then 8 engines are in the list as "ready"
    And the mean load counts 8 engines
