"""pimentoline.twohop: calls that pass through two nodes, the caller's and the target's.

This path is used where a target accepts calls only from the node on its own host.
`admission`, `durations`, `lifecycle`, `model`, `noise`, `placement`, `retry_budget`,
`success_rate`, `target_status` and `weighted_round_robin` make the decisions and are
free of I/O; the other modules carry the decisions out.
"""
