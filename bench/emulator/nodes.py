"""Nodes in model time: the product's two sides of a call, on a model of the network."""

import asyncio
from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders

from pimentoline.twohop.caller_side import CallerSide
from pimentoline.twohop.exchange import Response
from pimentoline.twohop.header_names import HeaderNames
from pimentoline.twohop.model import Member, RetryLimits
from pimentoline.twohop.placement import (
    HTTP_HEAD_BYTES,
    CallRequirements,
    Candidate,
    Location,
)
from pimentoline.twohop.target_side import TargetSide
from pimentoline.twohop.target_status import Heartbeat, TargetState, TargetStatus

__all__ = ["Network", "Node", "Traffic"]

HEADER_NAMES = HeaderNames()
KIND_HEADER = "X-Kind"
TARGET_ADDR = ("127.0.0.1", 1)
# A question to a target on the same host and its answer, seconds.
ASK_S = 0.002
# A node that starts with its target serves from what is stored until the first report.
FIRST_REPORT_S = 0.4


@dataclass(slots=True)
class Traffic:
    """What crossed the network: frames, and kilobytes by distance."""

    frames: int = 0
    kb_dc: float = 0.0
    kb_region: float = 0.0


@dataclass(slots=True)
class Network:
    """Delays between places, one way in seconds, and what was sent."""

    dc_s: float
    region_s: float
    nodes: list = field(default_factory=list)
    traffic: Traffic = field(default_factory=Traffic)

    def send(self, sender, receiver, size, deliver, *args):
        """Deliver `size` bytes of a frame later, unless either node ends meanwhile."""
        self.traffic.frames += 1
        delay_s = self._delay_s(sender.location, receiver.location, size / 1000.0)
        lives = sender.lives, receiver.lives

        def arrive():
            if (sender.lives, receiver.lives) == lives and receiver.up:
                deliver(*args)

        asyncio.get_running_loop().call_later(delay_s, arrive)

    def _delay_s(self, here, there, kilobytes):
        if here.dc == there.dc:
            return 0.0002
        if here.region == there.region:
            self.traffic.kb_dc += kilobytes
            return self.dc_s
        self.traffic.kb_region += kilobytes
        return self.region_s


class _NoPool:
    """Connections to a target that is a function call away."""

    async def acquire(self, addr, reuse):
        return self

    def release(self, conn):
        """Do nothing."""

    def close(self):
        """Do nothing."""

    def close_idle(self, addr):
        """Do nothing."""


class _ModelTargetSide(TargetSide):
    """The target's side of calls, with a modelled target."""

    def __init__(self, node, clock):
        super().__init__(
            HEADER_NAMES,
            _NoPool(),
            clock,
            node.service,
            TARGET_ADDR,
            lambda: "/",
            node.announce,
        )
        self._node = node

    async def _call_target(self, conn, work):
        model = self._node.model
        expected = self.status_tracker.current.target_id
        kind = self._node.kinds[dict(work.frame.headers)[KIND_HEADER]]
        if not model.up:
            raise ConnectionRefusedError("the target is down")
        headers = HTTPHeaders({HEADER_NAMES.response_stamp: "s"})
        if expected != model.name:
            headers[HEADER_NAMES.not_run] = "1"
            return Response(421, "Misdirected", headers, b"", True)
        remaining_s = work.job.deadline_at - self._clock()
        ran = await model.serve(kind, remaining_s)
        if ran.not_run:
            headers[HEADER_NAMES.not_run] = "1"
        headers[HEADER_NAMES.load] = model.load_header()
        body = bytes(kind.answer_bytes) if ran.status == 200 else b""
        return Response(ran.status, "", headers, body, True)

    async def _probe(self):
        noise = self.admission.noise
        noise.probe_started(self._clock())
        await asyncio.sleep(ASK_S)
        model = self._node.model
        headers = HTTPHeaders({HEADER_NAMES.target_id: model.name})
        headers[HEADER_NAMES.load] = model.load_header()
        self._probe_task = None
        if model.up:
            self._note_identity(Response(200, "", headers, b"", True))
            self._note_load(headers[HEADER_NAMES.load])
        else:
            noise.probe_failed(self._clock())
        self._pump()


class _ModelCallerSide(CallerSide):
    """The caller's side of calls, with a policy of placement and a seed."""

    def __init__(self, node, clock, policy, rng):
        limits = RetryLimits(0.2, 10.0, 64.0)
        super().__init__(node.service, node.location, node, None, limits, clock)
        self._policy = policy
        self._rng = rng

    def choose(self, call, now):
        return self._policy(
            self.peers.candidates(call.service),
            self.location,
            now,
            CallRequirements(call.objective_at, call.size),
            call.tried,
            self._rng.random(),
        )


class Node:
    """One node, its target and its view of the others.

    Parameters
    ----------
    name, service, dc, region : str
    kinds : dict of str to Kind
    network : Network
    policy : callable
        As `placement.choose`.
    rng : random.Random
    """

    def __init__(self, name, service, dc, region, kinds, network, policy, rng):
        self.name = name
        self.service = service
        self.location = Location(dc, region)
        self.member = Member(name, TARGET_ADDR, dc, region, service)
        self.kinds = kinds
        self.network = network
        self.up = True
        self.lives = 0
        self.model = None
        self._policy = policy
        self._rng = rng
        self.clock = asyncio.get_running_loop().time
        network.nodes.append(self)
        self._begin()

    def _begin(self):
        self.target = _ModelTargetSide(self, self.clock)
        self.caller_side = _ModelCallerSide(self, self.clock, self._policy, self._rng)
        self.views = {}

    # What `CallerSide` asks of its peers.

    @property
    def members(self):
        """Every node of the network."""
        return [node.member for node in self.network.nodes]

    def candidates(self, service):
        """Return the views of the nodes of a service."""
        found = []
        for node in self.network.nodes:
            if node.service == service:
                view = self._view(node)
                if node is self:
                    view.note_report(self.target.load_report(), self.clock())
                found.append(view)
        return found

    def _view(self, node):
        view = self.views.get(node.name)
        if view is None:
            view = self.views[node.name] = Candidate(node.member)
            view.reachable = node is self
        return view

    def send(self, candidate, make_frame, body, on_frame, on_stall):
        """Send a call to a node; return a function that cancels it."""
        network = self.network
        there = next(n for n in network.nodes if n.member is candidate.member)
        frame = make_frame(0)
        candidate.in_flight += 1
        call = _Sent(self, there, candidate, on_frame)
        network.send(self, there, len(body) + HTTP_HEAD_BYTES, call.arrive, frame, body)
        return call.cancel

    # Life of the node.

    def announce(self):
        """Tell the other nodes the state of this node's target."""
        load = self.target.load_report()
        for node in self.network.nodes:
            if node is not self:
                self.network.send(self, node, 0, node.heard, self, load)

    def heard(self, node, load):
        """Take what another node says of its target."""
        view = self._view(node)
        view.reachable = True
        view.note_report(load, self.clock())

    def report(self):
        """Give the node the status report of its target."""
        model = self.model
        if self.up and model.up:
            report = Heartbeat(
                model.name,
                TARGET_ADDR,
                self.service,
                model.born_ms,
                int(self.clock() * 1000) + 1,
                TargetState.READY,
                model.traits.slots,
                model.cold_s(),
            )
            self.target.handle_heartbeat(report)

    def stop_for(self, pause_s):
        """Take no calls for a while, as a node does that stops and starts again."""
        self.target.stop()
        asyncio.get_running_loop().call_later(pause_s, self._resume)

    def _resume(self):
        self.target.stopping = False
        self.announce()

    def restart(self, down_s):
        """Lose everything; be up again after `down_s` with what was stored."""
        held = self.target.status_tracker.current
        stored = TargetStatus(held.target_id, held.born_ms, 0, held.state)
        self.caller_side.abort()
        self.lives += 1
        self.up = False
        loop = asyncio.get_running_loop()
        loop.call_later(down_s, self._started, stored)
        loop.call_later(down_s + FIRST_REPORT_S, self.report)

    def _started(self, stored):
        self.up = True
        self._begin()
        self.target.restore(stored)
        self.announce()
        for node in self.network.nodes:
            if node is not self and node.up:
                self.network.send(
                    node, self, 0, self.heard, node, node.target.load_report()
                )


class _Sent:
    """A call on its way to another node."""

    def __init__(self, here, there, candidate, on_frame):
        self.here = here
        self.there = there
        self.candidate = candidate
        self.on_frame = on_frame
        self.work = None
        self.open = True

    def arrive(self, frame, body):
        """Hand the call to the target's node."""
        if self.open:
            self.work = self.there.target.submit(frame, body, self._reply)

    def _reply(self, frame, body):
        size = len(body) + HTTP_HEAD_BYTES
        network = self.here.network
        network.send(self.there, self.here, size, self._answered, frame, body)

    def _answered(self, frame, body):
        if not self.open:
            return
        self.open = False
        self.candidate.in_flight -= 1
        if self.there is not self.here:
            self.candidate.note_report(frame.load, self.here.clock())
        self.on_frame(frame, body)

    def cancel(self):
        """Withdraw the call."""
        if self.open:
            self.open = False
            self.candidate.in_flight -= 1
            self.here.network.send(self.here, self.there, 0, self._cancelled)

    def _cancelled(self):
        if self.work is not None:
            self.there.target.cancel(self.work)
