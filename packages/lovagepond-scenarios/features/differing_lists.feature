Feature: Routers hold differing lists of backend servers for seconds at a time
  A server joins and one router hears of it a few seconds before the other. If
  the two disagreed on many chats, returning chats would lose their context all
  over the pool. They may disagree on those chats alone that want the server
  which only one of them knows; and a chat that was served elsewhere is found by
  one hop, which never turns into a circle.

  Scenario: One router doesn't know the newest server yet
    Given a router that knows the servers 1 to 8
    And a router that knows the servers 1 to 7
    When both choose a first server for 20000 chats
    Then they differ on exactly the chats that want server-8
    And those are between 10 and 15 percent of the chats

  Scenario: Each router misses another server
    Given a router that knows the servers 1 to 7
    And a router that knows the servers 2 to 8
    When both choose a first server for 20000 chats
    Then they differ on exactly the chats that want server-1 or server-8

  Scenario: A chat that was served elsewhere is found by one hop
    Given the chat "kiosk-12" was last served at engine-5
    When a router sends "a" of the chat "kiosk-12" to its first choice engine-1
    Then "a" was pointed from engine-1 to engine-5

  Scenario: The server that the pointer names has gone
    Given the chat "kiosk-12" was last served at engine-5
    When a router sends "a" of the chat "kiosk-12" to its first choice engine-1
    And engine-5 is not there, and the router sends "a" to engine-1 again
    Then "a" was pointed from engine-1 to engine-5
    And 10 seconds pass
    And the request "a" was run by engine-1
