@shared
Feature: Contract of the data port

  Scenario Outline: a target with a fault
    Given a target that <fault>
    When a caller sends <method> with 400 ms left
    Then the answer is <status> with verdict <verdict> and code <code>

    Examples: answers of the target are passed on
      | fault                        | method | status | verdict | code |
      | answers 200                  | GET    | 200    | none    | none |
      | answers 200                  | POST   | 200    | none    | none |
      | answers 500                  | GET    | 500    | none    | none |
      | answers 500                  | POST   | 500    | none    | none |
      | answers 204                  | GET    | 204    | none    | none |
      | answers 304 with a length    | GET    | 304    | none    | none |
      | answers HEAD with a length   | HEAD   | 200    | none    | none |
      | answers 103 and 200          | GET    | 200    | none    | none |
      | answers with a false verdict | POST   | 200    | none    | none |

    Examples: proof that nothing ran
      | fault                | method | status | verdict | code           |
      | refuses connections  | GET    | 502    | not-run | target-refused |
      | refuses connections  | POST   | 502    | not-run | target-refused |
      | sheds                | GET    | 503    | not-run | target-shed    |
      | sheds                | POST   | 503    | not-run | target-shed    |

    Examples: no proof that nothing ran
      | fault                          | method | status | verdict      | code           |
      | closes before its head         | GET    | 502    | may-have-run | target-broken  |
      | closes before its head         | POST   | 502    | may-have-run | target-broken  |
      | closes within its head         | POST   | 502    | may-have-run | target-broken  |
      | sends no HTTP                  | POST   | 502    | may-have-run | target-broken  |
      | sends an endless head          | POST   | 502    | may-have-run | target-broken  |
      | answers 503 without X-Not-Run  | POST   | 503    | none         | none           |
      | answers 500 with X-Not-Run     | POST   | 500    | none         | none           |
      | stays silent                   | GET    | 504    | may-have-run | target-timeout |
      | stays silent                   | POST   | 504    | may-have-run | target-timeout |

    Examples: the target ran the call but its answer cannot be passed on
      | fault                          | method | status | verdict | code          |
      | answers without a length       | GET    | 502    | ran     | target-broken |
      | answers without a length       | POST   | 502    | ran     | target-broken |
      | answers with two lengths       | POST   | 502    | ran     | answer-cut    |
      | answers 204 with a body        | POST   | 502    | ran     | answer-cut    |

  Scenario Outline: a call that must run once is sent once
    Given a target that <fault>
    When a caller sends POST with 400 ms left
    Then the target has received 1 requests

    Examples:
      | fault                         |
      | answers 500                   |
      | answers 503 without X-Not-Run |
      | answers after 250 ms          |
      | closes before its head        |
      | closes within its head        |
      | answers without a length      |
      | stays silent                  |

  Scenario Outline: a caller can tell that an answer is cut
    Given a target that <fault>
    When a caller of <version> sends GET and reads to the end
    Then the caller sees a cut answer

    Examples:
      | fault                    | version  |
      | cuts a body with length  | HTTP/1.1 |
      | cuts a body with length  | HTTP/1.0 |
      | cuts a body in chunks    | HTTP/1.1 |
      | cuts a body in chunks    | HTTP/1.0 |

  Scenario Outline: a request that is refused
    Given a target that answers 200
    When a caller sends a request with <defect>
    Then the answer is <status> with verdict not-run and code <code>
    And the target has received nothing

    Examples:
      | defect                       | status | code               |
      | no Host                      | 400    | bad-request        |
      | a Host that is no service    | 400    | bad-request        |
      | two Hosts                    | 400    | bad-request        |
      | an unknown service           | 503    | unknown-service    |
      | a deadline that is no number | 400    | bad-request        |
      | a negative deadline          | 400    | bad-request        |
      | a deadline that has passed   | 504    | deadline-exceeded  |
      | an unknown class             | 400    | bad-request        |
      | a depth that is no number    | 400    | bad-request        |
      | an empty key                 | 400    | bad-request        |
      | two keys                     | 400    | bad-request        |
      | a key of 256 characters      | 400    | bad-request        |
      | a length that is no number   | 400    | bad-request        |
      | two unequal lengths          | 400    | bad-request        |
      | length and chunks            | 400    | bad-request        |
      | an unknown coding            | 501    | unknown-coding     |
      | a chunked DELETE             | 411    | length-required    |
      | an unknown expectation       | 417    | expectation-failed |
      | CONNECT                      | 501    | unknown-method     |
      | a head of 100 KB             | 431    | head-too-large     |

  Scenario: a request with an incomplete body is not passed on as complete
    Given a target that reads to the end
    When a caller closes after 5 of 10 bytes of its body
    Then the target has received 5 bytes and the end of the connection
