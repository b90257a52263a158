Feature: Routers' lists of backend servers differ for a few seconds
  One router lists a new server a few seconds before another one does. If the
  routers disagreed on many chats, returning chats would lose their context all
  over the pool. They may disagree only on chats whose first choice is a server
  that one of them doesn't list. A chat that was served elsewhere is found with
  one redirect, and redirects never form a loop.

  Scenario: One router doesn't list the newest server yet
    Given a router that lists the servers 1 to 8
    And a router that lists the servers 1 to 7
    When both routers choose a first server for 20000 chats
    Then they differ on exactly the chats that want server-8
    And the differing chats are between 10 and 15 percent of all

  Scenario: Each router's list lacks another server
    Given a router that lists the servers 1 to 7
    And a router that lists the servers 2 to 8
    When both routers choose a first server for 20000 chats
    Then they differ on exactly the chats that want server-1 or server-8

  Scenario: A chat that was served elsewhere is found with one redirect
    Given the chat "kiosk-12" was last served at engine-5
    When a router sends "a" of the chat "kiosk-12" to its first choice engine-1
    Then "a" was redirected from engine-1 to engine-5

  Scenario: The server named in the redirect is gone
    Given the chat "kiosk-12" was last served at engine-5
    When a router sends "a" of the chat "kiosk-12" to its first choice engine-1
    And engine-5 is gone, and the router sends "a" to engine-1 again
    Then "a" was redirected from engine-1 to engine-5
    And 10 seconds pass
    And the request "a" was run by engine-1
