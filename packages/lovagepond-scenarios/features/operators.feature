Feature: Operators make concurrent changes and resend changes after a lost answer
  Two operators change the same revision; one of them loses the answer and sends
  the change again, perhaps to a new leader. If a change were applied twice or
  mixed with another, a configuration that nobody requested would be in force.
  One of two concurrent changes is accepted, the other gets a conflict that
  names what the first one changed, and a resend under the same operation id
  gets the first answer.

  Background:
    Given three control members with control-1 as leader
    And the pool "offers" was accepted as revision 1

  Scenario: Two operators change the same revision
    When Anna adds the pool "chat" on revision 1
    And Birgir adds the pool "notices" on revision 1
    Then Anna's change was accepted as revision 2
    And Birgir received a conflict that names "pools/chat"
    And the pools are "offers, chat" on every control member

  Scenario: An operator's answer is lost and the change is sent again
    When Anna adds the pool "chat" on revision 1 and the answer is lost
    And Anna sends the same change again
    Then Anna's change was accepted as revision 2
    And the pools are "offers, chat" on every control member
    And the newest revision is 2

  Scenario: The leader changes between the change and its resend
    When Anna adds the pool "chat" on revision 1 and the answer is lost
    And control-1 stops
    And Anna sends the same change again
    Then Anna's change was accepted as revision 2
    And the newest revision is 2

  Scenario: Another change is accepted first, and the change is resent twice
    When Anna adds the pool "chat" on revision 1 and the answer is lost
    And Birgir adds the pool "notices" on revision 2
    And Anna sends the same change again
    And Anna sends the same change again
    Then Anna's change was accepted as revision 2
    And Birgir's change was accepted as revision 3
    And the pools are "offers, chat, notices" on every control member

  Scenario: The operator with the conflict sends the change again
    When Anna adds the pool "chat" on revision 1
    And Birgir adds the pool "notices" on revision 1
    And control-1 stops
    And Birgir sends the same change again
    Then Birgir received a conflict that names "pools/chat"
    And the newest revision is 2

  Scenario: An older configuration is restored as a new revision
    When Anna adds the pool "chat" on revision 1
    And Birgir restores revision 1 on revision 2
    Then the newest revision is 3
    And the pools are "offers" on every control member

  Scenario: A configuration with several errors is rejected as a whole
    When Anna replaces the configuration on revision 1 by an invalid one
    Then Anna received validation errors for "pools[1].name, selectors[0].workspaces"
    And the newest revision is 1
