"""pimentoline.twohop.placement: which target's node gets a call.

Answers load that shifts in milliseconds under reports that are always stale: a
report is corrected by what this node has sent since, and loses weight with age.
"""

import math
from dataclasses import dataclass, field

from .model import COLD_START_SLOWDOWN, LoadReport, Member
from .success_rate import decayed

__all__ = ["Candidate", "Location", "CallRequirements", "choose"]

# Round trip to another data centre and to another region, milliseconds.
OTHER_DC_MS = 2.0
OTHER_REGION_MS = 18.0
# What a kilobyte to another data centre or region costs, in parts of the credit for
# a call: links between them are billed by volume. Means of what both users pay: 0.010
# and 0.052 between data centres, 0.074 and 0.034 between regions.
OTHER_DC_COST_KB = 0.031
OTHER_REGION_COST_KB = 0.054
# Heads of a call and its answer, bytes.
HEAD_BYTES = 600
# Spread of the time to an answer around what is expected, milliseconds: work times
# vary by a third, and neighbours' noise comes in stretches of 150 ms.
SPREAD_MS = 80.0
# Credit for an answer after the objective, as a part of the whole credit.
LATE_CREDIT = 0.1
# A report older than this says nothing more about what others have sent.
REPORT_LIFE_S = 1.0
# Without news, the expected delay goes back to the target's mean over this time,
# seconds, since nobody renews the report of a target that gets no calls.
DELAY_FADE_S = 5.0
# The mean follows the reports of about this time, seconds; the users' targets turn
# slow for 3 to 15 s.
MEAN_S = 60.0
# Largest weight of one report in the mean, and what the first mean counts for.
MEAN_WEIGHT = 0.2
FIRST_COUNT = 3
# Delay of a target of which nothing is known, milliseconds.
FIRST_DELAY_MS = 120.0
# Each failure in a row makes a target look this much slower, up to the maximum.
FAILURE_FACTOR = 0.5
MAX_FAILURE_FACTOR = 5.0
# After this time without a failure a target is tried again at its plain delay.
FAILURE_LIFE_S = 3.0
# Differences of value below this do not decide, so that equals share the load.
TIE_SPREAD = 0.02
# Expected time lost at a target whose node refused within the last moment.
REFUSED_MS = 200.0


@dataclass(frozen=True, slots=True)
class Location:
    """Where this node stands."""

    dc: str
    region: str


@dataclass(frozen=True, slots=True)
class CallRequirements:
    """What matters of a call: the end of its objective, seconds, and its bytes."""

    goal_at: float
    size: int = 0


@dataclass(slots=True, eq=False)
class Candidate:
    """A target's node, as this node sees it.

    Attributes
    ----------
    in_flight : int
        Calls that this node has there and that are unanswered.
    in_flight_at_report : int
        The same when the report was made.
    mean_ms : float
        Mean of the delays reported, milliseconds.
    reports : int
        Reports that came.
    """

    member: Member
    reachable: bool = False
    report: LoadReport = field(default_factory=LoadReport)
    reported_at: float = 0.0
    in_flight: int = 0
    in_flight_at_report: int = 0
    mean_ms: float = FIRST_DELAY_MS
    reports: int = 0
    failures: float = 0.0
    failed_at: float = 0.0
    refused_until: float = 0.0

    def note_report(self, report, now):
        """Take the newest report of the target's node."""
        passed = min(MEAN_WEIGHT, (now - self.reported_at) / MEAN_S)
        self.reports += 1
        weight = max(passed, 1.0 / (self.reports + FIRST_COUNT))
        self.mean_ms += weight * (report.delay_ms - self.mean_ms)
        self.report = report
        self.reported_at = now
        self.in_flight_at_report = self.in_flight

    def note_failure(self, now):
        """Count a failure of the target."""
        self.failures = min(self.failures + 1.0, MAX_FAILURE_FACTOR / FAILURE_FACTOR)
        self.failed_at = now

    def note_success(self):
        """Count a good answer."""
        self.failures *= 0.7

    def good_rate(self, now):
        """Return the part of the target's calls that it answers well."""
        return decayed(self.report.good_rate, now - self.reported_at)

    def expected_ms(self, now):
        """Return the expected time to an answer, without distance, milliseconds."""
        report = self.report
        extra = self.in_flight - self.in_flight_at_report
        age = now - self.reported_at
        fresh = max(0.0, 1.0 - age / REPORT_LIFE_S)
        others = (
            max(0, report.running + report.queued - self.in_flight_at_report) * fresh
        )
        total = others + self.in_flight
        known = max(0.0, 1.0 - age / DELAY_FADE_S)
        delay = self.mean_ms + (report.delay_ms - self.mean_ms) * known
        if age * 1000.0 < report.cold_ms:
            delay *= COLD_START_SLOWDOWN
        delay += max(0.0, report.rest_ms - age * 1000.0)
        over = total - report.limit + 1
        if extra > 0 and over > 0:
            delay += delay * min(over, extra) / report.limit
        # Full targets run slower, so the emptier of two equal ones is better.
        delay *= 1.0 + 0.3 * min(total / max(report.limit, 1), 2.0)
        if self.failures > 0 and now - self.failed_at < FAILURE_LIFE_S:
            delay *= 1.0 + FAILURE_FACTOR * self.failures
        if now < self.refused_until:
            delay += REFUSED_MS
        return delay


def network_cost(location, member, size):
    """Return the round trip to a member and the cost of its bytes.

    Parameters
    ----------
    location : Location
    member : Member
    size : int
        Bytes of the call and its answer.

    Returns
    -------
    tuple of float
        Milliseconds, and parts of the credit for a call.
    """
    if member.dc == location.dc:
        return 0.0, 0.0
    kilobytes = (size + HEAD_BYTES) / 1000.0
    if member.region == location.region:
        return OTHER_DC_MS, OTHER_DC_COST_KB * kilobytes
    return OTHER_REGION_MS, OTHER_REGION_COST_KB * kilobytes


def in_time(left_ms, expected_ms):
    """Return the chance that an answer comes within `left_ms`."""
    x = (expected_ms - left_ms) / SPREAD_MS
    return 1.0 / (1.0 + math.exp(min(max(x, -30.0), 30.0)))


def choose(candidates, location, now, requirements, tried, draw):
    """Return the candidate with the most expected credit less cost, or None.

    Parameters
    ----------
    candidates : iterable of Candidate
    location : Location
    now : float
        Monotonic time, seconds.
    requirements : CallRequirements
    tried : container of str
        Nodes that are left out.
    draw : float
        Random number in [0, 1); breaks ties.
    """
    best = None
    best_value = 0.0
    goal_ms = (requirements.goal_at - now) * 1000.0
    for number, cand in enumerate(candidates):
        if not cand.reachable or not cand.report.accepting:
            continue
        if cand.member.node in tried:
            continue
        trip_ms, cost = network_cost(location, cand.member, requirements.size)
        expected_ms = cand.expected_ms(now) + trip_ms
        chance = in_time(goal_ms, expected_ms)
        value = chance + LATE_CREDIT * (1.0 - chance)
        value = value * cand.good_rate(now) - cost
        # Among hopeless ones the soonest is best.
        value -= expected_ms * 1e-5
        value += ((draw * 997.0 + number * 0.618) % 1.0) * TIE_SPREAD
        if best is None or value > best_value:
            best, best_value = cand, value
    return best
