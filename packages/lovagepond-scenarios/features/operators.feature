Feature: Operators race each other and resend changes after losing the answer
  Two operators look at the same revision and change it; one loses the answer
  and sends the change again, perhaps to the next leader. Taken in twice or
  mixed, a change would be in force that nobody asked for. One of two racing
  changes wins, the other is told what the winner changed, and a resend under
  its operation id gets the first answer.

  Background:
    Given three control members with control-1 as leader
    And the pool "offers" was accepted as revision 1

  Scenario: Two operators race under equal version numbers
    When Anna adds the pool "chat" on revision 1
    And Birgir adds the pool "notices" on revision 1
    Then Anna's change was accepted as revision 2
    And Birgir was told of a conflict that names "pools/chat"
    And the pools are "offers, chat" on every control member

  Scenario: An operator loses the answer and sends the change again
    When Anna adds the pool "chat" on revision 1 and loses the answer
    And Anna sends the same change again
    Then Anna's change was accepted as revision 2
    And the pools are "offers, chat" on every control member
    And the newest revision is 2

  Scenario: The leader changes between the change and its resend
    When Anna adds the pool "chat" on revision 1 and loses the answer
    And control-1 stops
    And Anna sends the same change again
    Then Anna's change was accepted as revision 2
    And the newest revision is 2

  Scenario: Another change came between, and the resend is sent twice
    When Anna adds the pool "chat" on revision 1 and loses the answer
    And Birgir adds the pool "notices" on revision 2
    And Anna sends the same change again
    And Anna sends the same change again
    Then Anna's change was accepted as revision 2
    And Birgir's change was accepted as revision 3
    And the pools are "offers, chat, notices" on every control member

  Scenario: The loser of a race sends its change again
    When Anna adds the pool "chat" on revision 1
    And Birgir adds the pool "notices" on revision 1
    And control-1 stops
    And Birgir sends the same change again
    Then Birgir was told of a conflict that names "pools/chat"
    And the newest revision is 2

  Scenario: An older configuration is put back as a new revision
    When Anna adds the pool "chat" on revision 1
    And Birgir restores revision 1 on revision 2
    Then the newest revision is 3
    And the pools are "offers" on every control member

  Scenario: A configuration with several faults is refused whole
    When Anna replaces the configuration on revision 1 by one with faults
    Then Anna was told of the faults "pools[1].name, selectors[0].workspaces"
    And the newest revision is 1
