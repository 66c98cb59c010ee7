Feature: Applying rules while the store fails

  Scenario Outline: one operator, a failing store
    Given two nodes that share a store
    When the store has faults <faults>
    And an operator applies "pause t1  # Mary" to version 0
    Then the command says <result> with exit status <status>
    And the store holds <held> versions

    Examples:
      | faults                                        | result      | status | held |
      | {}                                            | accepted    | 0      | 1    |
      | {"lose_answers": 1}                           | accepted    | 0      | 1    |
      | {"lose_answers": 2}                           | accepted    | 0      | 1    |
      | {"lose_requests": 1}                          | accepted    | 0      | 1    |
      | {"lose_requests": 2}                          | unknown     | 4      | 0    |
      | {"delay_s": 0.4}                              | accepted    | 0      | 1    |
      | {"delay_s": 9.0}                              | unavailable | 6      | 0    |
      | {"down": true}                                | unavailable | 6      | 0    |
      | {"silent": true}                              | unavailable | 6      | 0    |
      | {"writes_per_s": 0.5}                         | unavailable | 6      | 0    |
      | {"lose_answers": 1, "down_after_loss": true}  | unknown     | 4      | 1    |
      | {"nonsense": "html"}                          | unavailable | 6      | 0    |
      | {"nonsense": "shape"}                         | unavailable | 6      | 0    |
      | {"nonsense": "types"}                         | unavailable | 6      | 0    |
      | {"nonsense": "cut"}                           | unavailable | 6      | 0    |
      | {"nonsense": "huge"}                          | unavailable | 6      | 0    |

  Scenario Outline: an operator who is late or wrong
    Given two nodes that share a store
    And version 1 "pause t1  # Mary" was accepted from "mary"
    When an operator applies "<text>" to version <base>
    Then the command says <result> with exit status <status>
    And the store holds <held> versions

    Examples:
      | text             | base | result        | status | held |
      | pause t2  # John | 1    | accepted      | 0      | 2    |
      | pause t2  # John | 0    | conflict      | 3      | 1    |
      | pause t2  # John | 2    | conflict      | 3      | 1    |
      | pause t2         | 1    | rules-invalid | 1      | 1    |
      | paws t2  # John  | 1    | rules-invalid | 1      | 1    |

  Scenario Outline: asking again after an unknown outcome
    Given two nodes that share a store
    When the store has faults <faults>
    And an operator applies "pause t1  # Mary" to version 0
    Then the command says unknown with exit status 4
    When the store has faults {"down": false, "lose_requests": 0}
    And <others> other versions are accepted
    And the operator asks again for the attempt
    Then the command says <result> with exit status <status>
    And the store holds <held> versions
    And both nodes have version <held> in force within 5 s

    Examples:
      | faults                                       | others | result   | status | held |
      | {"lose_answers": 1, "down_after_loss": true} | 0      | accepted | 0      | 1    |
      | {"lose_answers": 1, "down_after_loss": true} | 2      | accepted | 0      | 3    |
      | {"lose_requests": 2}                         | 0      | accepted | 0      | 1    |
      | {"lose_requests": 2}                         | 2      | conflict | 3      | 2    |
