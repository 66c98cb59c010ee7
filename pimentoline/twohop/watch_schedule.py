"""pimentoline.twohop.watch_schedule: how long a node waits for the next change.

Each node watches a table of the store with requests that wait for a change. A request
that never gets its response cannot be told from one without a change until its wait
ends. Therefore the waits of the nodes end one after the other at short intervals, and
the first node that learns of a change tells the others.
"""

__all__ = ["MAX_WAIT_S", "wait_s"]

# Time between the ends of the waits of two nodes, seconds.
END_INTERVAL_S = 0.6
# Bounds of the wait, seconds.
MIN_WAIT_S = 1.2
MAX_WAIT_S = 10.0


def wait_s(rank, nodes, restarted):
    """Return how long the next watch of a node waits for a change, seconds.

    Parameters
    ----------
    rank : int
        Position of the node among all nodes, from 0.
    nodes : int
        Number of nodes.
    restarted : bool
        Whether the previous watch did not wait until its end. A change ends the watches
        of all nodes at once; the next ones are then spread by rank.
    """
    period_s = min(max(nodes * END_INTERVAL_S, MIN_WAIT_S), MAX_WAIT_S)
    return period_s * (rank + 1) / nodes if restarted else period_s
