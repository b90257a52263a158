Feature: Engines join, leave and flap
  There is no static list of backend servers: each one announces itself once a
  second. A server that stops announcing must leave every router's list within
  seconds, and one that restarts repeatedly must not move chats each time. When
  many servers stop announcing at once, the network is the likelier cause, and
  removing them all would make routers refuse every request although the servers
  are healthy.

  Background:
    Given 12 engines announce themselves each second

  Scenario: An engine joins and another stops announcing itself
    When engine-13 starts to announce itself
    And engine-4 stops announcing itself
    And 5 seconds pass
    Then engine-13 is in the list as "ready"
    And engine-4 is not in the list
    And 12 engines are in the list as "ready"

  Scenario: An engine announces that it is draining
    When engine-4 announces that it is draining
    And 1 second passes
    Then engine-4 is in the list as "draining"
    And 11 engines are in the list as "ready"

  Scenario: An operator drains an engine that keeps announcing itself
    When an operator drains engine-4
    And 2 seconds pass
    Then engine-4 is in the list as "draining"
    And 11 engines are in the list as "ready"

  Scenario: One engine restarts repeatedly
    When engine-4 restarts 4 times within 20 seconds
    Then engine-4 is in the list as "joining"
    And 11 engines are in the list as "ready"
    When 60 seconds pass
    Then engine-4 is in the list as "ready"

  Scenario: An engine restarts repeatedly again once it is readmitted
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

  Scenario: Most engines stop announcing themselves at once
    When the engines 1 to 9 stop announcing themselves
    And 8 seconds pass
    Then 12 engines are in the list as "ready"

  Scenario: A rack with a third of the engines fails at once
    When the engines 1 to 4 stop announcing themselves
    And 5 seconds pass
    Then 8 engines are in the list as "ready"
    And the mean load is taken over 8 engines
