"""pimentoline.twohop: calls that cross the caller's node and the target's node.

Used where only the node on a target's own host can reach that target. `admission`,
`placement`, `retry_budget`, `lifecycle`, `target_status` and `model` decide and are
pure; the other modules carry out what they decide.
"""
