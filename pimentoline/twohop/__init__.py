"""pimentoline.twohop: calls that pass through two nodes, the caller's and the target's.

This path is used where a target accepts calls only from the node on its own host.
`admission`, `placement`, `retry_budget`, `lifecycle`, `target_status`, `model` and the
modules that they import make the decisions and are free of I/O, as is
`weighted_round_robin`; the other modules carry the decisions out.
"""
