"""Runs one condition in model time and counts what callers get."""

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

# Nodes learn of each other and of their targets before the load begins, seconds.
LEAD_S = 1.0
# Calls that are open when the load ends are waited for this long, seconds.
TAIL_S = 2.0
# Length of the windows of which the two worst are given, seconds.
WINDOW_S = 2.0
WORST = 2
# One way between a caller and its node, seconds.
CALLER_S = 0.001
# Part of the time left that a caller waits at most when it is told to come back.
MAX_WAIT_SHARE = 1 / 3
ATTEMPTS = 2
HIGHEST_US = 10_000_000


@dataclass
class Result:
    """What callers got, summed over seeds; credit by window of the load."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    owed: dict = field(default_factory=dict)
    earned: dict = field(default_factory=dict)
    frames: int = 0
    kb_dc: float = 0.0
    kb_region: float = 0.0
    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, HIGHEST_US, 3)
    )

    @property
    def credit(self):
        """Credit earned, as a part of the credit owed."""
        return sum(self.earned.values()) / max(sum(self.owed.values()), 1e-9)

    @property
    def worst(self):
        """The same for the worst windows."""
        parts = [self.earned.get(key, 0.0) / owed for key, owed in self.owed.items()]
        worst = sorted(parts)[:WORST]
        return sum(worst) / len(worst)

    def percentile_ms(self, percent):
        """Return a percentile of the time to a good answer, milliseconds."""
        return self.histogram.get_value_at_percentile(percent) / 1000.0


class _Emulation:
    """One site under one condition and seed."""

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
        self.calls = set()
        for service, counts in site.services.items():
            for dc, count in zip(site.dcs, counts, strict=True):
                for number in range(count):
                    self._add(f"{service}-{dc}-{number}", service, dc, policy)

    def _add(self, name, service, dc, policy):
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

        async def call(kind_name, remaining_s):
            kind = self.kinds[kind_name]
            outcome = await self._ask(node, kind, min(kind.deadline_s, remaining_s))
            return outcome.status if outcome is not None else None

        rng = random.Random(f"{self.seed} {name} works")
        node.model = TargetModel(self.site.traits, rng, call)

    async def _ask(self, node, kind, remaining_s):
        """Return the outcome of a call at a node, None if the node ends."""
        if not node.up:
            return None
        incoming = IncomingCall(
            "",
            "GET",
            "/",
            ((KIND_HEADER, kind.name),),
            bytes(kind.sent_bytes),
            remaining_s,
            self.loop.time(),
        )
        answered = self.loop.create_future()

        def respond(outcome):
            if not answered.done():
                answered.set_result(outcome)

        leave = node.caller_side.submit(self.routes[kind.name], incoming, respond)
        try:
            return await answered
        except asyncio.CancelledError:
            leave()
            raise

    async def run(self):
        """Play the condition."""
        await asyncio.sleep(0)
        for node in self.network.nodes:
            node.report()
            node.announce()
        await asyncio.sleep(LEAD_S)
        self.began = self.loop.time()
        for fault in self.condition.faults:
            self.loop.call_later(fault.at_s, self._begin, fault)
        sources = [self._source(kind) for kind in self.site.kinds if kind.per_s]
        await asyncio.gather(*sources)
        await asyncio.sleep(TAIL_S)
        traffic = self.network.traffic
        self.result.frames += traffic.frames
        self.result.kb_dc += traffic.kb_dc
        self.result.kb_region += traffic.kb_region

    def _begin(self, fault):
        first = self.site.kinds[0].service
        nodes = [node for node in self.network.nodes if node.service == first]
        struck = nodes[: max(1, round(fault.share * len(nodes)))]
        match fault.kind:
            case "burst":
                self.load = self.condition.load * fault.factor
            case "slow":
                for node in struck:
                    node.model.slow_factor = fault.factor
            case "grey":
                for node in struck:
                    node.model.error_share = fault.factor
            case "lost":
                for node in struck:
                    node.stop_for(fault.for_s)
            case "power_off":
                for node in self.network.nodes:
                    node.model.restart(fault.for_s)
                    node.restart(fault.for_s)
                return
        self.loop.call_later(fault.for_s, self._end, struck)

    def _end(self, struck):
        self.load = self.condition.load
        for node in struck:
            node.model.slow_factor = 1.0
            node.model.error_share = 0.0

    async def _source(self, kind):
        rng = random.Random(f"{self.seed} {kind.name} arrivals")
        while True:
            await asyncio.sleep(rng.expovariate(kind.per_s * self.load))
            at_s = self.loop.time() - self.began
            if at_s >= self.length_s:
                return
            node = rng.choice(self.network.nodes)
            task = self.loop.create_task(self._caller(node, kind, at_s))
            self.calls.add(task)
            task.add_done_callback(self.calls.discard)

    async def _caller(self, node, kind, at_s):
        began = self.loop.time()
        ends = began + kind.deadline_s
        status = None
        for _ in range(ATTEMPTS):
            remaining_s = ends - self.loop.time()
            if remaining_s <= 0:
                break
            await asyncio.sleep(CALLER_S)
            outcome = await self._ask(node, kind, remaining_s - CALLER_S)
            await asyncio.sleep(CALLER_S)
            status = outcome.status if outcome is not None else None
            if status is None or status == 200:
                break
            if status != 503 and not kind.repeatable:
                break
            remaining_s = ends - self.loop.time()
            wait_s = outcome.retry_after_s or 0.0
            await asyncio.sleep(max(min(wait_s, remaining_s * MAX_WAIT_SHARE), 0.0))
        self._count(kind, at_s, status, self.loop.time() - began)

    def _count(self, kind, at_s, status, taken_s):
        result = self.result
        window = int(at_s / WINDOW_S)
        result.asked += 1
        result.owed[window] = result.owed.get(window, 0.0) + kind.worth
        earned = 0.0
        if status == 200 and taken_s <= kind.goal_s:
            result.in_time += 1
            earned = kind.worth
        elif status == 200 and taken_s <= kind.deadline_s:
            result.late += 1
            earned = kind.late_worth
        elif status == 503:
            result.refused += 1
        else:
            result.failed += 1
        if status == 200:
            result.histogram.record_value(min(int(taken_s * 1e6), HIGHEST_US))
        result.earned[window] = result.earned.get(window, 0.0) + earned


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
        3,
    )


def run_condition(site, condition, policy, seeds, length_s):
    """Return the `Result` of a condition over several seeds.

    Parameters
    ----------
    site : Site
    condition : Condition
    policy : str
        A name in `POLICIES`.
    seeds : iterable of int
    length_s : float
        Length of the load, seconds of model time.
    """
    result = Result()
    for seed in seeds:

        async def play(seed=seed):
            emulation = _Emulation(
                site, condition, POLICIES[policy], seed, length_s, result
            )
            await emulation.run()

        simulated_time.run(play())
    return result
