"""pimentoline.twohop.watch_schedule: how long a node waits for the next change.

Each node watches a table of the store with requests that wait for a change. A request
that never gets its response cannot be told from one without a change until its wait
ends. Therefore the waits of the nodes end one after the other at short intervals, and
the first node that learns of a change tells the others.

A node cannot know which of the others still read the store: one that is frozen keeps
its links. Therefore nodes announce their reads, and a node that has neither read the
table nor heard of such a read for too long ends its wait early.
"""

__all__ = ["MAX_WAIT_S", "is_announcement_due", "overdue_after_s", "wait_s"]

# Time between the ends of the waits of two nodes, seconds.
END_INTERVAL_S = 0.6
# Bounds of the wait, seconds.
MIN_WAIT_S = 1.2
MAX_WAIT_S = 10.0
# Bounds of the time without a read after which a node ends its wait, seconds. Each node
# draws a time from this range, so that the first one spares the others their reads.
MIN_OVERDUE_S = 1.3
MAX_OVERDUE_S = 1.6
# With many nodes, waits end more often than others need to know, seconds.
ANNOUNCE_INTERVAL_S = 0.5


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


def overdue_after_s(draw):
    """Return the time without a read after which a node ends its wait, seconds.

    Parameters
    ----------
    draw : float
        Random number from 0 to 1.
    """
    return MIN_OVERDUE_S + draw * (MAX_OVERDUE_S - MIN_OVERDUE_S)


def is_announcement_due(since_last_s):
    """Return whether a node announces its read, given the time since the last one.

    Parameters
    ----------
    since_last_s : float
        Time since this node has read the table or heard of such a read, seconds.
    """
    return since_last_s >= ANNOUNCE_INTERVAL_S
