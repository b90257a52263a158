@processes
Feature: The same guarantees with real processes over loopback
  One control member, two routers, and three sidecars with a fake engine each
  run as separate processes. Operators use ctl and callers use HTTP. An engine's
  connection is cut, a server is drained, and processes are stopped and killed.
  This shows that the program runs the decision logic that other scenarios test.

  Scenario: An operator's change is in force everywhere, and a repeat is applied once
    When an operator gives the workspace "pharmacy" the weight 2 by ctl
    And the operator repeats the command with the same operation id
    Then both commands report the same revision
    And ctl reports that the revision is in force everywhere
    And every router and sidecar process holds that revision

  Scenario: The connection to the engine is cut in the middle of an answer
    Given every engine cuts the connection once after 5 tokens
    When a shopper sends a chat through router-1
    Then the shopper receives the whole answer

  Scenario: Engines send answers that belong to other requests
    Given every engine once sends the answer to another request
    When a shopper sends a chat through router-2
    Then the shopper receives their own whole answer or an error

  Scenario: A drained engine gets no new work
    When an operator drains the engine of sidecar-1 by ctl
    And every router lists the engine as draining
    And 9 chats start through router-1
    Then all chats are answered, and the engine of sidecar-1 received none
    When an operator resumes the engine of sidecar-1 by ctl
    Then ctl lists the engine as ready again

  Scenario: A sidecar is stopped while it streams an answer
    When a shopper requests a long answer through router-1
    And the sidecar that serves the request receives SIGTERM
    Then the shopper receives the whole answer
    And the stopped process exits with code 0

  Scenario: Control is killed, and the routers continue to serve
    When the process control-1 is killed
    And a shopper sends a chat through router-2
    Then the shopper receives the whole answer
