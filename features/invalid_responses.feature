@shared
Feature: Responses of targets that are not valid HTTP

  Scenario Outline: an invalid response is not passed on
    Given a target that <fault>
    When a caller sends <method> with 4000 ms left
    Then the answer is 502 with verdict may-have-run and code target-broken

    Examples: statuses
      | fault                                    | method |
      | answers with status 000                  | GET    |
      | answers with status 000                  | POST   |
      | answers with status 099                  | POST   |
      | answers with status 600                  | GET    |
      | answers with status 600                  | POST   |
      | answers with status 000 without a length | POST   |

    Examples: field names
      | fault                                       | method |
      | answers with a blank in a field name        | POST   |
      | answers with a blank before a field name    | POST   |
      | answers with a blank after a field name     | POST   |
      | answers with a control byte in a field name | GET    |
      | answers with a control byte in a field name | POST   |
