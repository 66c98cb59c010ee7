"""pimentoline.outliers: ejection of failing targets, and slow start afterwards.

An ejected target gets no calls until its ejection ends, if other targets are usable. In
slow start, the weight of a target rises from a small share of its configured weight.
"""

from .fast_replace import replace

__all__ = ["SLOW_START_S", "record_failure", "slow_start_share", "success_changes"]

# A target is ejected after `CONSECUTIVE_FAILURES` in a row, or if more than the share
# `MAX_FAILURE_RATE` of its latest `WINDOW_ATTEMPTS` attempts failed.
CONSECUTIVE_FAILURES = 5
WINDOW_ATTEMPTS = 20
MAX_FAILURE_RATE = 0.5
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
# Share of the targets of a service. Ejecting more of them would overload the rest. If
# more of them fail, the cause is more likely this node or the service as a whole.
MAX_EJECTED_SHARE = 0.5
SLOW_START_S = 10.0
# Share of its weight that a target has when its slow start begins. With less, it would
# get too few calls to tell whether it is healthy.
MIN_SLOW_START_SHARE = 0.1


def slow_start_share(stats, now):
    """Return the share of its weight, 0.1 to 1.0, that a target has in slow start."""
    share = (now - stats.ready_at) / SLOW_START_S
    return min(1.0, max(MIN_SLOW_START_SHARE, share))


def success_changes(stats, started):
    """Return the changed fields of `stats` after a success that began at `started`."""
    if started < stats.ready_at:
        # `ready_at` is the time at which the target came up or its ejection ends. The
        # attempt began before then, so it says nothing about its present state.
        return {}
    return {
        "consecutive_failures": 0,
        "recent_outcomes": (*stats.recent_outcomes[1 - WINDOW_ATTEMPTS :], True),
    }


def record_failure(stats, started, now, decisive, count_ejected, target_count):
    """Return the statistics after a failed attempt, with an ejection if one is due.

    An ejection that begins within `MAX_EJECTION_S` after the end of the previous one is
    twice as long as that one, up to `MAX_EJECTION_S`.

    Parameters
    ----------
    stats : TargetStats
    started, now : float
        Start and end of the attempt, monotonic time in seconds.
    decisive : bool
        Whether one failure is enough for an ejection, as with a refused connection.
    count_ejected : callable
        Returns the number of other targets of the service that are ejected.
    target_count : int
        Number of targets of the service that this node uses.

    Returns
    -------
    TargetStats
    """
    if started < stats.ready_at:
        # As in `success_changes`, the attempt says nothing about the present state.
        return stats
    failures = stats.consecutive_failures + 1
    window = (*stats.recent_outcomes[1 - WINDOW_ATTEMPTS :], False)
    stats = replace(stats, consecutive_failures=failures, recent_outcomes=window)
    full = len(window) == WINDOW_ATTEMPTS
    due = (
        decisive
        or failures >= CONSECUTIVE_FAILURES
        or (full and window.count(False) > MAX_FAILURE_RATE * WINDOW_ATTEMPTS)
    )
    if not due or count_ejected() + 1 > int(target_count * MAX_EJECTED_SHARE):
        return stats
    length_s = FIRST_EJECTION_S
    if now - stats.ejected_until < MAX_EJECTION_S:
        length_s = min(MAX_EJECTION_S, max(length_s, 2.0 * stats.ejected_for_s))
    until = now + length_s
    return replace(
        stats,
        # One more failure after the ejection ejects the target again.
        consecutive_failures=CONSECUTIVE_FAILURES - 1,
        recent_outcomes=(),
        ejected_until=until,
        ejected_for_s=length_s,
        ready_at=until,
    )
