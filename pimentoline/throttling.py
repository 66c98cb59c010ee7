"""pimentoline.throttling: adaptive throttling of calls by class.

A node counts the attempts that the targets of a service accepted and those that they
shed or left unanswered. If much more is sent than accepted, the excess is refused here
without a connection, the lowest class first.
"""

import math

from .model import CALL_CLASSES, CLASS_RANKS

__all__ = ["attempt_changes", "has_excess", "refused_share"]

# Refusals grow and fade over a few decay times. A longer time would refuse calls long
# after the targets have recovered.
DECAY_S = 1.5
# Counts are decayed in steps, which costs less than at every attempt.
DECAY_STEP_S = 0.1
# Up to this much more than what is accepted is sent. The surplus finds a recovery: the
# calls let through grow by this factor in each decay time. With a larger one, targets
# spend more of their time on shedding.
MAX_RATIO = 1.5
# Fewer attempts than this within the decay time are too few for a ratio.
MIN_SENT = 10.0
# Some calls always pass, or nothing would tell when the targets accept again.
MAX_REFUSED = 0.95


def decayed(stats, now):
    """Return the counts of sent and accepted attempts, decayed up to now."""
    part = math.exp((stats.counted_at - now) / DECAY_S)
    return (
        tuple(count * part for count in stats.sent),
        tuple(count * part for count in stats.accepted),
    )


def attempt_changes(stats, call_class, accepted, now):
    """Return the changed fields of `stats` after an attempt, sent or refused here."""
    sent, counts, changes = stats.sent, stats.accepted, {}
    if now - stats.counted_at > DECAY_STEP_S:
        sent, counts = decayed(stats, now)
        changes["counted_at"] = now
    rank = CLASS_RANKS[call_class]
    changes["sent"] = _increased(sent, rank)
    changes["accepted"] = _increased(counts, rank) if accepted else counts
    return changes


def _increased(counts, rank):
    return counts[:rank] + (counts[rank] + 1.0,) + counts[rank + 1 :]


def has_excess(stats):
    """Return whether more was sent than the accepted attempts allow."""
    return sum(stats.sent) > MAX_RATIO * sum(stats.accepted)


def refused_share(stats, call_class, now):
    """Return the share of calls of a class to refuse.

    The excess over `MAX_RATIO` times the accepted attempts is taken from the lowest
    class; a higher class loses calls only if the classes below it are not enough.
    """
    sent, accepted = decayed(stats, now)
    total = sum(sent)
    excess = total - MAX_RATIO * sum(accepted)
    if total < MIN_SENT or excess <= 0.0:
        return 0.0
    for name, count in zip(reversed(CALL_CLASSES), reversed(sent)):
        if name == call_class:
            return min(MAX_REFUSED, excess / count) if count else 0.0
        excess -= MAX_REFUSED * count
        if excess <= 0.0:
            return 0.0
    return 0.0
