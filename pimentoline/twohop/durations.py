"""pimentoline.twohop.durations: estimates of how long calls take at a target.

Calls of the same kind, see `DurationEstimator`, are expected to take the same time.

Also detects whether the target slows down when nearly all of its slots are in use.
Some targets do so without reporting it. Therefore, calls that started with most slots
in use are compared with calls that started with few.
"""

__all__ = ["DurationEstimator"]

# Assumed mean until the first call has completed, seconds; close to the processing
# times in the two known deployments of pimentoline.
INITIAL_DURATION_S = 0.12
# A kind of call without samples is expected to take at most this share of its latency
# objective. Objectives in both deployments are 2.5 to 4.5 times the processing time.
MAX_OBJECTIVE_SHARE = 0.4
# Weight of the newest sample in an exponential moving average.
SMOOTHING_WEIGHT = 0.08
# The baseline is the duration without temporary slowdowns. Shorter durations lower it
# with the weight `SMOOTHING_WEIGHT`. Longer ones raise it slowly, over this time in
# seconds, because targets become slow for 3 to 15 s at a time.
BASELINE_RISE_S = 60.0
# Without completed calls, the estimate returns from the mean to the baseline over this
# time, seconds. Most causes of slowness are gone by then, and only new calls can show
# whether the target is still slow.
MEAN_DECAY_S = 5.0
# Shares of a target's slots that are in use when a call starts, its own included. Up to
# the first share, the call is a sample of light load; above the second, it is a sample
# of full load. Known targets that slow down do so above 0.8.
LIGHT_LOAD_SHARE = 0.6
FULL_LOAD_SHARE = 0.8
# Samples of light and of full load, each, that are needed to compare the two.
MIN_SAMPLES = 20
# The slots above `FULL_LOAD_SHARE` are used while calls at full load take at most this
# many times as long as at light load. At 1.25 the throughput would be the same with
# and without them, but the other calls at the target become slower as well.
MAX_FULL_LOAD_RATIO = 1.15


class DurationEstimator:
    """Moving averages of call durations, in total and by kind of call.

    A kind is any hashable value that separates calls of different durations. Its value
    in `target_side` is the priority of a call and whether the call may run twice.
    """

    def __init__(self):
        self._mean_by_kind = {}
        self._baseline_by_kind = {}
        self._noted_at = 0.0
        self._light_load_by_kind = {}
        self._light_load_samples = 0
        self._full_load_ratio = 1.0
        self._full_load_samples = 0
        self._mean_s = INITIAL_DURATION_S
        self._baseline_s = INITIAL_DURATION_S

    def note(self, kind, duration_s, running, slots, now):
        """Record the duration of a call that has completed.

        Parameters
        ----------
        kind : object
            Kind of the call.
        duration_s : float
            Duration, seconds.
        running : int
            Number of running calls when this one started, itself included.
        slots : int
            Calls that the target processes at once.
        now : float
            Monotonic time, seconds.
        """
        rise_weight = min(SMOOTHING_WEIGHT, (now - self._noted_at) / BASELINE_RISE_S)
        self._noted_at = now
        previous_s = self._mean_by_kind.get(kind, duration_s)
        self._mean_by_kind[kind] = previous_s + SMOOTHING_WEIGHT * (
            duration_s - previous_s
        )
        self._mean_s += SMOOTHING_WEIGHT * (duration_s - self._mean_s)
        previous_s = self._baseline_by_kind.get(kind, duration_s)
        self._baseline_by_kind[kind] = previous_s + (
            duration_s - previous_s
        ) * _baseline_weight(previous_s, duration_s, rise_weight)
        previous_s = self._baseline_s
        self._baseline_s = previous_s + (duration_s - previous_s) * _baseline_weight(
            previous_s, duration_s, rise_weight
        )
        if running <= slots * LIGHT_LOAD_SHARE:
            previous_s = self._light_load_by_kind.get(kind, duration_s)
            self._light_load_by_kind[kind] = previous_s + SMOOTHING_WEIGHT * (
                duration_s - previous_s
            )
            self._light_load_samples += 1
        elif running > slots * FULL_LOAD_SHARE and kind in self._light_load_by_kind:
            load_ratio = duration_s / max(self._light_load_by_kind[kind], 0.001)
            self._full_load_ratio += SMOOTHING_WEIGHT * (
                load_ratio - self._full_load_ratio
            )
            self._full_load_samples += 1

    def expected_s(self, kind, now, objective_s=None):
        """Return the expected duration of a call of a kind, seconds.

        Parameters
        ----------
        kind : object
            Kind of the call; None for the mean over all kinds.
        now : float
            Monotonic time, seconds.
        objective_s : float or None
            Latency objective of the call, seconds; bounds the estimate for a kind
            without samples.
        """
        mean_s, baseline_s = self._mean_s, self._baseline_s
        if kind is not None and kind in self._mean_by_kind:
            mean_s, baseline_s = self._mean_by_kind[kind], self._baseline_by_kind[kind]
        elif kind is not None and objective_s is not None:
            mean_s = min(mean_s, max(objective_s, 0.0) * MAX_OBJECTIVE_SHARE)
            baseline_s = min(baseline_s, mean_s)
        freshness = max(0.0, 1.0 - (now - self._noted_at) / MEAN_DECAY_S)
        return baseline_s + (mean_s - baseline_s) * freshness

    def concurrency_limit(self, slots, cold):
        """Return the number of calls that may run at once.

        Until there are enough samples, all slots are used, to find out whether the last
        ones slow the target down. This is not tried during a cold start, when responses
        are late already.

        Parameters
        ----------
        slots : int
            Calls that the target processes at once.
        cold : bool
            Whether the target is still slow after its start.
        """
        enough_samples = (
            min(self._full_load_samples, self._light_load_samples) >= MIN_SAMPLES
        )
        if (enough_samples and self._full_load_ratio > MAX_FULL_LOAD_RATIO) or (
            cold and not enough_samples
        ):
            return max(1, int(slots * FULL_LOAD_SHARE))
        return slots


def _baseline_weight(baseline_s, duration_s, rise_weight):
    return SMOOTHING_WEIGHT if duration_s < baseline_s else rise_weight
