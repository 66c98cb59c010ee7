"""pimentoline.throttling: adaptive client-side throttling of calls by class.

For each service, a node counts the attempts sent, including the calls that it refused
itself, and the attempts accepted: those that the targets neither shed nor left without
a response. If many more attempts are sent than accepted, the node refuses the excess
without opening a connection, the lowest class first.
"""

import math

from .model import CALL_CLASSES, CLASS_RANKS

__all__ = ["attempt_changes", "has_excess_attempts", "refused_share"]

# Time constant of the decay of the counts. Refusals begin and end within a few time
# constants; with a longer one, calls would be refused long after the targets have
# recovered.
DECAY_S = 1.5
# Counts are decayed in steps, which is cheaper than at every attempt.
DECAY_STEP_S = 0.1
# Attempts sent for each accepted one. The surplus detects a recovery: the number of
# calls let through grows by this factor in each `DECAY_S`. With a larger factor,
# targets would spend more of their time on shedding.
MAX_SENT_PER_ACCEPTED = 1.5
# With a lower decayed count of attempts sent, the ratio is unreliable and no call is
# refused.
MIN_SENT = 10.0
# Some calls always pass, to detect when the targets accept again.
MAX_REFUSED_SHARE = 0.95


def decayed_counts(stats, now):
    """Return the counts of sent and accepted attempts by class, decayed up to `now`."""
    factor = math.exp((stats.counted_at - now) / DECAY_S)
    return (
        tuple(count * factor for count in stats.sent),
        tuple(count * factor for count in stats.accepted),
    )


def attempt_changes(stats, call_class, accepted, now):
    """Return the changed fields of `stats` after an attempt or a refusal.

    Parameters
    ----------
    stats : ServiceStats
    call_class : str
    accepted : bool
        Whether the target accepted the attempt; False for a refusal.
    now : float
        Monotonic time, seconds.

    Returns
    -------
    dict of str to object
    """
    sent, accepted_counts, changes = stats.sent, stats.accepted, {}
    if now - stats.counted_at > DECAY_STEP_S:
        sent, accepted_counts = decayed_counts(stats, now)
        changes["counted_at"] = now
    rank = CLASS_RANKS[call_class]
    changes["sent"] = _increased(sent, rank)
    changes["accepted"] = (
        _increased(accepted_counts, rank) if accepted else accepted_counts
    )
    return changes


def _increased(counts, rank):
    return counts[:rank] + (counts[rank] + 1.0,) + counts[rank + 1 :]


def has_excess_attempts(stats):
    """Return whether the attempts sent per accepted one exceed the maximum."""
    return sum(stats.sent) > MAX_SENT_PER_ACCEPTED * sum(stats.accepted)


def refused_share(stats, call_class, now):
    """Return the share of the calls of a class to refuse, from 0.0 to 0.95.

    The attempts sent in excess of `MAX_SENT_PER_ACCEPTED` for each accepted one are
    taken from the lowest class; a higher class loses calls only if the classes below it
    are not enough.
    """
    sent, accepted = decayed_counts(stats, now)
    total = sum(sent)
    excess = total - MAX_SENT_PER_ACCEPTED * sum(accepted)
    if total < MIN_SENT or excess <= 0.0:
        return 0.0
    for name, count in zip(reversed(CALL_CLASSES), reversed(sent)):
        if name == call_class:
            return min(MAX_REFUSED_SHARE, excess / count) if count else 0.0
        excess -= MAX_REFUSED_SHARE * count
        if excess <= 0.0:
            return 0.0
    return 0.0
