"""Runs one condition in simulated time and counts the results that callers see."""

import asyncio
import random
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from pimentoline.twohop.caller_side import IncomingCall
from pimentoline.twohop.model import Route, RouteKind, Share

from . import simulated_time
from .nodes import KIND_HEADER, Network, Node
from .policies import POLICIES
from .targets import TargetModel

__all__ = ["Result", "run_condition"]

# Time before the load, in which nodes discover each other and their targets, seconds.
WARM_UP_S = 1.0
# Time after the load for calls in flight to complete, seconds.
COMPLETION_S = 2.0
# Length of the windows over which the credit of `Result` is summed, seconds.
CREDIT_WINDOW_S = 2.0
# Number of windows that `Result.worst_credit_share` covers.
WORST_WINDOW_COUNT = 2
# One-way delay between a caller and its node, seconds.
CALLER_DELAY_S = 0.001
# A caller that receives `Retry-After` waits for at most this share of the time that
# remains until its deadline.
MAX_WAIT_SHARE = 1 / 3
# Maximum number of times that a caller sends the same call.
MAX_CALLER_ATTEMPTS = 2
# Largest latency that the histogram can record, microseconds.
MAX_LATENCY_US = 10_000_000


@dataclass
class Result:
    """Results that callers see, summed over the seeds.

    Each successful response earns the credit that `CallKind` gives.

    Attributes
    ----------
    calls, on_time, late, refused, failed : int
        Number of calls in total, and by result: status 200 within the latency
        objective, status 200 between the objective and the deadline, status 503, and
        any other result.
    possible_credit, earned_credit : dict of int to float
        Credit that the calls would earn if all were on time, and credit that they did
        earn, by number of the window in which they were made.
    frames : int
        Number of frames between nodes.
    kb_dc, kb_region : float
        Kilobytes sent between data centres of a region, and between regions.
    histogram : HdrHistogram
        Latencies of successful calls, microseconds.
    """

    calls: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    possible_credit: dict = field(default_factory=dict)
    earned_credit: dict = field(default_factory=dict)
    frames: int = 0
    kb_dc: float = 0.0
    kb_region: float = 0.0
    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3)
    )

    @property
    def credit_share(self):
        """Credit earned, as a share of the possible credit."""
        return sum(self.earned_credit.values()) / max(
            sum(self.possible_credit.values()), 1e-9
        )

    @property
    def worst_credit_share(self):
        """Mean of the credit shares of the worst `WORST_WINDOW_COUNT` windows."""
        shares = [
            self.earned_credit.get(window, 0.0) / credit
            for window, credit in self.possible_credit.items()
        ]
        lowest = sorted(shares)[:WORST_WINDOW_COUNT]
        return sum(lowest) / len(lowest)

    def percentile_ms(self, percent):
        """Return a percentile of the latency of successful calls, milliseconds."""
        return self.histogram.get_value_at_percentile(percent) / 1000.0


class _Emulation:
    """A run of one site under one condition with one seed."""

    def __init__(self, site, condition, policy, seed, length_s, result):
        self.site = site
        self.condition = condition
        self.length_s = length_s
        self.result = result
        self.rng = random.Random(seed)
        self.seed = seed
        self.kinds = {kind.name: kind for kind in site.kinds}
        self.routes = {kind.name: _route(kind) for kind in site.kinds}
        self.network = Network(site.dc_s, site.region_s)
        self.loop = asyncio.get_running_loop()
        self.load = condition.load
        self.call_tasks = set()
        for service, counts in site.services.items():
            for dc, count in zip(site.dcs, counts, strict=True):
                for number in range(count):
                    self._add_node(f"{service}-{dc}-{number}", service, dc, policy)

    def _add_node(self, name, service, dc, policy):
        node = Node(
            name,
            service,
            dc,
            self.site.dcs[dc],
            self.kinds,
            self.network,
            policy,
            random.Random(f"{self.seed} {name} places"),
        )

        async def call_from_target(kind_name, remaining_s):
            kind = self.kinds[kind_name]
            outcome = await self._call(node, kind, min(kind.deadline_s, remaining_s))
            return outcome.status if outcome is not None else None

        rng = random.Random(f"{self.seed} {name} works")
        node.target_model = TargetModel(self.site.traits, rng, call_from_target)

    async def _call(self, node, kind, remaining_s):
        """Return the `CallOutcome` of a call at a node, or None if the node is down."""
        if not node.up:
            return None
        incoming = IncomingCall(
            "",  # request_id
            "GET",
            "/",
            ((KIND_HEADER, kind.name),),
            bytes(kind.sent_bytes),
            remaining_s,
            self.loop.time(),
        )
        outcome_received = self.loop.create_future()

        def respond(outcome):
            if not outcome_received.done():
                outcome_received.set_result(outcome)

        disconnect = node.caller_side.submit(self.routes[kind.name], incoming, respond)
        try:
            return await outcome_received
        except asyncio.CancelledError:
            disconnect()
            raise

    async def run(self):
        """Run the condition and add its results to `result`."""
        await asyncio.sleep(0)
        for node in self.network.nodes:
            node.send_heartbeat()
            node.announce()
        await asyncio.sleep(WARM_UP_S)
        self.load_started_at = self.loop.time()
        for fault in self.condition.faults:
            self.loop.call_later(fault.at_s, self._start_fault, fault)
        sources = [self._generate_calls(kind) for kind in self.site.kinds if kind.per_s]
        await asyncio.gather(*sources)
        await asyncio.sleep(COMPLETION_S)
        traffic = self.network.traffic
        self.result.frames += traffic.frames
        self.result.kb_dc += traffic.kb_dc
        self.result.kb_region += traffic.kb_region

    def _start_fault(self, fault):
        """Start a fault and schedule its end."""
        service = self.site.kinds[0].service
        nodes = [node for node in self.network.nodes if node.service == service]
        affected = nodes[: max(1, round(fault.share * len(nodes)))]
        match fault.kind:
            case "burst":
                self.load = self.condition.load * fault.factor
            case "slow":
                for node in affected:
                    node.target_model.slow_factor = fault.factor
            case "grey":
                for node in affected:
                    node.target_model.error_share = fault.factor
            case "lost":
                for node in affected:
                    node.pause(fault.for_s)
            case "power_off":
                for node in self.network.nodes:
                    node.target_model.restart(fault.for_s)
                    node.restart(fault.for_s)
                # Nodes and targets come up by themselves.
                return
        self.loop.call_later(fault.for_s, self._end_fault, affected)

    def _end_fault(self, affected):
        self.load = self.condition.load
        for node in affected:
            node.target_model.slow_factor = 1.0
            node.target_model.error_share = 0.0

    async def _generate_calls(self, kind):
        """Make calls of a kind as a Poisson process until the load ends."""
        rng = random.Random(f"{self.seed} {kind.name} arrivals")
        while True:
            await asyncio.sleep(rng.expovariate(kind.per_s * self.load))
            at_s = self.loop.time() - self.load_started_at
            if at_s >= self.length_s:
                return
            node = rng.choice(self.network.nodes)
            task = self.loop.create_task(self._call_with_retries(node, kind, at_s))
            self.call_tasks.add(task)
            task.add_done_callback(self.call_tasks.discard)

    async def _call_with_retries(self, node, kind, at_s):
        """Make a call `at_s` seconds after the start of the load and record it."""
        started_at = self.loop.time()
        deadline_at = started_at + kind.deadline_s
        status = None
        for _ in range(MAX_CALLER_ATTEMPTS):
            remaining_s = deadline_at - self.loop.time()
            if remaining_s <= 0:
                break
            await asyncio.sleep(CALLER_DELAY_S)
            outcome = await self._call(node, kind, remaining_s - CALLER_DELAY_S)
            await asyncio.sleep(CALLER_DELAY_S)
            status = outcome.status if outcome is not None else None
            if status is None or status == 200:
                break
            # Status 503 means that the call was not run, so it may always be retried.
            if status != 503 and not kind.repeatable:
                break
            remaining_s = deadline_at - self.loop.time()
            wait_s = outcome.retry_after_s or 0.0
            await asyncio.sleep(max(min(wait_s, remaining_s * MAX_WAIT_SHARE), 0.0))
        self._record(kind, at_s, status, self.loop.time() - started_at)

    def _record(self, kind, at_s, status, latency_s):
        result = self.result
        window = int(at_s / CREDIT_WINDOW_S)
        result.calls += 1
        result.possible_credit[window] = (
            result.possible_credit.get(window, 0.0) + kind.worth
        )
        earned_credit = 0.0
        if status == 200 and latency_s <= kind.goal_s:
            result.on_time += 1
            earned_credit = kind.worth
        elif status == 200 and latency_s <= kind.deadline_s:
            result.late += 1
            earned_credit = kind.late_worth
        elif status == 503:
            result.refused += 1
        else:
            result.failed += 1
        if status == 200:
            result.histogram.record_value(min(int(latency_s * 1e6), MAX_LATENCY_US))
        result.earned_credit[window] = (
            result.earned_credit.get(window, 0.0) + earned_credit
        )


def _route(kind):
    return Route(
        kind.name,
        "",
        "/",
        RouteKind.SAFE if kind.repeatable else RouteKind.UNSAFE,
        kind.deadline_s,
        kind.goal_s,
        kind.priority,
        (Share(kind.service, 1),),
        3,  # max_attempts
    )


def run_condition(site, condition, policy, seeds, length_s):
    """Emulate a condition with several seeds and return the summed `Result`.

    Parameters
    ----------
    site : Site
    condition : Condition
    policy : str
        A name in `POLICIES`.
    seeds : iterable of int
    length_s : float
        Duration of the load, seconds of simulated time.
    """
    result = Result()
    for seed in seeds:

        async def emulate(seed=seed):
            emulation = _Emulation(
                site, condition, POLICIES[policy], seed, length_s, result
            )
            await emulation.run()

        simulated_time.run(emulate())
    return result
