Feature: Verdicts of failed calls

  Scenario Outline: a failing target
    Given a node with one target
    When the target has fault <fault>
    And a caller sends <method> to the node
    Then the answer has status <status> and verdict "<verdict>"

    Examples:
      | fault | method | status | verdict |
      | none  | GET    | 200    | none    |
      | shed  | POST   | 503    | not-run |
