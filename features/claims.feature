@shared
Feature: Calls with an Idempotency-Key

  Scenario Outline: the same key twice
    Given a target that <fault>
    When a caller sends a keyed POST
    Then the answer is <status> with verdict <verdict> and code <code>
    And the claim is written
    When the caller sends it again after the target is <later>
    Then the answer is <status 2> with verdict <verdict 2> and code <code 2>
    And the answer is replayed: <replayed>
    And the target has received <runs> requests

    Examples:
      | fault                  | status | verdict      | code           | later   | status 2 | verdict 2    | code 2         | replayed | runs |
      | answers 200            | 200    | none         | none           | healthy | 200      | ran          | none           | yes      | 0    |
      | answers 500            | 500    | none         | none           | healthy | 500      | ran          | none           | yes      | 0    |
      | answers 8 KB           | 200    | none         | none           | healthy | 200      | ran          | none           | cut      | 0    |
      | sheds                  | 503    | not-run      | target-shed    | healthy | 200      | none         | none           | no       | 1    |
      | closes before its head | 502    | may-have-run | target-broken  | healthy | 409      | may-have-run | key-held       | no       | 0    |
      | stays silent           | 504    | may-have-run | target-timeout | healthy | 409      | may-have-run | key-held       | no       | 0    |

  Scenario Outline: a fault of the store
    Given a target that answers 200
    And a store that <fault>
    When a caller sends a keyed POST
    Then the answer is <status> with verdict <verdict> and code <code>
    And the target has received <runs> requests
    When the store recovers
    Then the same key is answered 200 and has run once

    Examples:
      | fault                       | status | verdict | code              | runs |
      | is down                     | 503    | not-run | store-unavailable | 0    |
      | loses an answer             | 200    | none    | none              | 1    |
      | answers after the deadline  | 504    | not-run | deadline-exceeded | 0    |
