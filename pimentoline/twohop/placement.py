"""pimentoline.twohop.placement: chooses the node that a call is sent to.

A node has one target, on the same host, which accepts calls from this node only.

The load of a target changes within milliseconds, so reports of it are always out of
date. A report is therefore corrected by the calls that this node has sent since, and
loses weight with its age.
"""

import math
from dataclasses import dataclass, field

from .model import COLD_START_SLOWDOWN, LoadReport, Member
from .success_rate import decayed_rate

__all__ = ["CallRequirements", "Candidate", "Location", "choose"]

# Round-trip times to another data centre and to another region, milliseconds.
OTHER_DC_RTT_MS = 2.0
OTHER_REGION_RTT_MS = 18.0
# Cost of a kilobyte sent to another data centre or region, where links are billed by
# volume. The unit is the value of a response that meets the latency objective. These
# are the means of the prices in the two known deployments of pimentoline: 0.010 and
# 0.052 between data centres, 0.074 and 0.034 between regions.
OTHER_DC_COST_PER_KB = 0.031
OTHER_REGION_COST_PER_KB = 0.054
# Size of the start lines and headers of a call and its response together, bytes.
HTTP_HEAD_BYTES = 600
# Scale of the logistic distribution of response times around the expected one,
# milliseconds. Processing times vary by a third, and noisy neighbours on the host are
# active for periods of 150 ms.
RESPONSE_TIME_SPREAD_MS = 80.0
# Value of a response after the latency objective; one that meets it counts as 1.
LATE_VALUE = 0.1
# After this time, seconds, a report says nothing about the calls of other nodes.
REPORT_LIFETIME_S = 1.0
# Time, seconds, in which the expected delay returns to the target's mean delay if there
# is no new report. The report of a target that gets no calls is not renewed, so one
# with a long delay would otherwise keep calls away.
DELAY_DECAY_S = 5.0
# Period that the mean delay covers, seconds; targets turn slow for 3 to 15 s at a time.
MEAN_WINDOW_S = 60.0
# Largest weight of one report in the mean delay.
MAX_MEAN_WEIGHT = 0.2
# Weight of the initial mean delay, as a number of reports.
INITIAL_MEAN_REPORTS = 3
# Mean delay of a target before its first report, milliseconds.
INITIAL_DELAY_MS = 120.0
# Each recent failure of a target increases its expected delay by this share of it.
FAILURE_SLOWDOWN = 0.5
# Largest increase for all recent failures together, as a share of the expected delay.
MAX_FAILURE_SLOWDOWN = 5.0
# Failures are ignored once a target has had none for this long, seconds.
FAILURE_MEMORY_S = 3.0
# Largest random number that is added to the value of a candidate, so that nearly equal
# candidates share the load.
TIE_JITTER = 0.02
# Delay added to a target while it is avoided after a refusal by its node, milliseconds.
REFUSAL_PENALTY_MS = 200.0


@dataclass(frozen=True, slots=True)
class Location:
    """Data centre (`dc`) and region of a node."""

    dc: str
    region: str


@dataclass(frozen=True, slots=True)
class CallRequirements:
    """The properties of a call that placement takes into account.

    Attributes
    ----------
    objective_at : float
        Monotonic time at which the latency objective is missed, seconds.
    size : int
        Expected size of the bodies of the call and its response, bytes.
    """

    objective_at: float
    size: int = 0


@dataclass(slots=True, eq=False)
class Candidate:
    """What this node knows about a target's node.

    Attributes
    ----------
    reachable : bool
        Whether the link to the node is up and not suspect; always true for this node's
        own target.
    report : LoadReport
        The newest report of the node.
    reported_at : float
        Monotonic time at which `report` was received, seconds.
    in_flight : int
        Calls that this node has sent to the candidate and that have no response yet.
    in_flight_at_report : int
        Value of `in_flight` when the newest report was received.
    mean_delay_ms : float
        Moving average of the reported delays, milliseconds.
    report_count : int
        Number of reports received.
    failures : float
        Number of recent failures; each success reduces it by a factor.
    failed_at : float
        Monotonic time of the last failure, seconds.
    refused_until : float
        Until when the node is avoided because it refused a call, monotonic time in
        seconds.
    """

    member: Member
    reachable: bool = False
    report: LoadReport = field(default_factory=LoadReport)
    reported_at: float = 0.0
    in_flight: int = 0
    in_flight_at_report: int = 0
    mean_delay_ms: float = INITIAL_DELAY_MS
    report_count: int = 0
    failures: float = 0.0
    failed_at: float = 0.0
    refused_until: float = 0.0

    def note_report(self, report, now):
        """Store the newest report and update the mean delay."""
        elapsed_weight = min(MAX_MEAN_WEIGHT, (now - self.reported_at) / MEAN_WINDOW_S)
        self.report_count += 1
        weight = max(elapsed_weight, 1.0 / (self.report_count + INITIAL_MEAN_REPORTS))
        self.mean_delay_ms += weight * (report.delay_ms - self.mean_delay_ms)
        self.report = report
        self.reported_at = now
        self.in_flight_at_report = self.in_flight

    def note_failure(self, now):
        """Count a failure of the target."""
        self.failures = min(
            self.failures + 1.0, MAX_FAILURE_SLOWDOWN / FAILURE_SLOWDOWN
        )
        self.failed_at = now

    def note_success(self):
        """Count a response that is not a failure."""
        self.failures *= 0.7

    def success_rate(self, now):
        """Return the reported success rate, which returns to 1 as the report ages."""
        return decayed_rate(self.report.success_rate, now - self.reported_at)

    def expected_ms(self, now):
        """Return the expected response time without the network, milliseconds."""
        report = self.report
        sent_since_report = self.in_flight - self.in_flight_at_report
        age_s = now - self.reported_at
        report_weight = max(0.0, 1.0 - age_s / REPORT_LIFETIME_S)
        other_calls = (
            max(0, report.running + report.queued - self.in_flight_at_report)
            * report_weight
        )
        total_calls = other_calls + self.in_flight
        delay_weight = max(0.0, 1.0 - age_s / DELAY_DECAY_S)
        delay_ms = (
            self.mean_delay_ms + (report.delay_ms - self.mean_delay_ms) * delay_weight
        )
        if age_s * 1000.0 < report.cold_remaining_ms:
            delay_ms *= COLD_START_SLOWDOWN
        delay_ms += max(0.0, report.noise_remaining_ms - age_s * 1000.0)
        # The reported delay includes the wait in the queue when the report was made.
        # Calls sent since then beyond the target's concurrency limit add to this wait.
        over_limit = total_calls - report.limit + 1
        if sent_since_report > 0 and over_limit > 0:
            delay_ms += delay_ms * min(over_limit, sent_since_report) / report.limit
        # Targets slow down as their load rises, so the less loaded one is preferred.
        delay_ms *= 1.0 + 0.3 * min(total_calls / max(report.limit, 1), 2.0)
        if self.failures > 0 and now - self.failed_at < FAILURE_MEMORY_S:
            delay_ms *= 1.0 + FAILURE_SLOWDOWN * self.failures
        if now < self.refused_until:
            delay_ms += REFUSAL_PENALTY_MS
        return delay_ms


def network_cost(location, member, size):
    """Return the round-trip time to a member and the cost of sending a call there.

    Parameters
    ----------
    location : Location
    member : Member
    size : int
        Size of the bodies of the call and its response, bytes.

    Returns
    -------
    tuple of float
        The time in milliseconds, and the cost in units of the value of a response
        that meets the latency objective.
    """
    if member.dc == location.dc:
        return 0.0, 0.0
    kilobytes = (size + HTTP_HEAD_BYTES) / 1000.0
    if member.region == location.region:
        return OTHER_DC_RTT_MS, OTHER_DC_COST_PER_KB * kilobytes
    return OTHER_REGION_RTT_MS, OTHER_REGION_COST_PER_KB * kilobytes


def on_time_probability(remaining_ms, expected_ms):
    """Return the probability of a response within `remaining_ms`.

    Response times are assumed to have a logistic distribution around `expected_ms`.
    """
    x = (expected_ms - remaining_ms) / RESPONSE_TIME_SPREAD_MS
    return 1.0 / (1.0 + math.exp(min(max(x, -30.0), 30.0)))


def choose(candidates, location, now, requirements, tried, draw):
    """Return the candidate with the highest expected value less cost, or None.

    Only reachable candidates that accept calls are considered. A response has the value
    1 if it meets the latency objective, `LATE_VALUE` if it is late, and 0 if it is a
    failure.

    Parameters
    ----------
    candidates : iterable of Candidate
    location : Location
        Location of this node.
    now : float
        Monotonic time, seconds.
    requirements : CallRequirements
    tried : container of str
        Names of the nodes to leave out.
    draw : float
        Random number in [0, 1); breaks ties.
    """
    best = None
    best_value = 0.0
    objective_ms = (requirements.objective_at - now) * 1000.0
    for index, candidate in enumerate(candidates):
        if not candidate.reachable or not candidate.report.accepting:
            continue
        if candidate.member.node in tried:
            continue
        round_trip_ms, cost = network_cost(
            location, candidate.member, requirements.size
        )
        expected_ms = candidate.expected_ms(now) + round_trip_ms
        on_time = on_time_probability(objective_ms, expected_ms)
        value = on_time + LATE_VALUE * (1.0 - on_time)
        value = value * candidate.success_rate(now) - cost
        # If all candidates are far too late, their probabilities are equal, and the
        # fastest one is chosen.
        value -= expected_ms * 1e-5
        # Derives a different pseudo-random number for each candidate from one draw.
        value += ((draw * 997.0 + index * 0.618) % 1.0) * TIE_JITTER
        if best is None or value > best_value:
            best, best_value = candidate, value
    return best
