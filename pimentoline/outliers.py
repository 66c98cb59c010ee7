"""pimentoline.outliers: ejection of failing targets, and their way back."""

from .fast_replace import replace

__all__ = ["SLOW_START_S", "record_failure", "slow_start", "success_changes"]

CONSECUTIVE_FAILURES = 5
WINDOW_CALLS = 20
MAX_FAILURE_RATE = 0.5
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
# More ejected targets would overload the rest, and would rather mean that this node
# or the service as a whole is at fault.
MAX_EJECTED_SHARE = 0.5
SLOW_START_S = 10.0
# The least part of calls that a target gets at the begin of its slow start; less
# would bring no answers that could show its state.
SLOW_START_FLOOR = 0.1


def slow_start(stats, now):
    """Return the part, up to 1.0, of its weight that a returned target gets."""
    part = (now - stats.ready_at) / SLOW_START_S
    return min(1.0, max(SLOW_START_FLOOR, part))


def success_changes(stats, started):
    """Return the changed fields of `stats` after an attempt that began at `started`."""
    if started < stats.ready_at:
        # It was sent before the ejection or the start; it says nothing of now.
        return {}
    return {
        "consecutive_failures": 0,
        "recent_outcomes": (*stats.recent_outcomes[1 - WINDOW_CALLS :], True),
    }


def record_failure(stats, started, now, decisive, ejected, total):
    """Return statistics after a failed attempt, with an ejection if it is due.

    Parameters
    ----------
    stats : TargetStats
    started, now : float
        Begin and end of the attempt, monotonic seconds.
    decisive : bool
        Whether this one failure is enough, as that of a refused connection.
    ejected : callable
        Returns the number of other targets of the service that are ejected.
    total : int
        Number of targets of the service that this node uses.

    Returns
    -------
    TargetStats
    """
    if started < stats.ready_at:
        return stats
    failures = stats.consecutive_failures + 1
    window = (*stats.recent_outcomes[1 - WINDOW_CALLS :], False)
    stats = replace(stats, consecutive_failures=failures, recent_outcomes=window)
    full = len(window) == WINDOW_CALLS
    due = (
        decisive
        or failures >= CONSECUTIVE_FAILURES
        or (full and window.count(False) > MAX_FAILURE_RATE * WINDOW_CALLS)
    )
    if not due or ejected() + 1 > int(total * MAX_EJECTED_SHARE):
        return stats
    length_s = FIRST_EJECTION_S
    if now - stats.ejected_until < MAX_EJECTION_S:
        length_s = min(MAX_EJECTION_S, max(length_s, 2.0 * stats.ejected_for_s))
    until = now + length_s
    return replace(
        stats,
        # One more failure after the return ejects it again.
        consecutive_failures=CONSECUTIVE_FAILURES - 1,
        recent_outcomes=(),
        ejected_until=until,
        ejected_for_s=length_s,
        ready_at=until,
    )
