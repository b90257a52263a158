@processes
Feature: The same promises with real processes over loopback
  One control member, two routers, three sidecars with a stand-in engine each,
  every one a process of its own. Operators use ctl, callers HTTP; an engine's
  connection is cut, a server is drained, processes are stopped and killed. It
  shows that the deciders proved elsewhere are the ones that the program runs.

  Scenario: An operator's change is in force everywhere, and sent twice made once
    When an operator gives the workspace "pharmacy" the weight 2 by ctl
    And the operator repeats the command with the same operation id
    Then both answers tell the same revision
    And ctl tells that the revision is in force everywhere
    And every router and sidecar process holds that revision

  Scenario: The connection to the engine is cut in the middle of an answer
    Given every engine cuts the connection once after 5 tokens
    When a shopper asks through router-1
    Then the shopper's process gets the whole answer

  Scenario: Answers arrive crossed
    Given every engine sends another's answer once
    When a shopper asks through router-2
    Then the shopper's process gets its own whole answer or none

  Scenario: A drained engine gets no new work
    When an operator drains the engine of sidecar-1 by ctl
    And every router has heard that it is leaving
    And 9 chats start through router-1
    Then all of them are answered, and the engine of sidecar-1 got none
    When an operator resumes the engine of sidecar-1 by ctl
    Then ctl lists it as ready again

  Scenario: A sidecar is stopped while an answer comes through it
    When a shopper asks for a long answer through router-1
    And the sidecar that serves it is told to stop
    Then the shopper's process gets the whole answer
    And the stopped process ended by itself with code 0

  Scenario: Control is killed, and the routers go on
    When the process control-1 is killed
    And a shopper asks through router-2
    Then the shopper's process gets the whole answer
