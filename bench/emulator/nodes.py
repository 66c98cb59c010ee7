"""Simulated nodes: `CallerSide` and `TargetSide` on models of network and targets."""

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
# Header that carries the name of a call's kind (`CallKind` in `targets`).
KIND_HEADER = "X-Kind"
# The address of all targets, which nothing connects to.
TARGET_ADDR = ("127.0.0.1", 1)
# Duration of a probe of the target on the same host, seconds.
PROBE_S = 0.002
# Time from when a node and its target are up again to the first heartbeat, seconds.
# Until then the node uses the stored target status.
FIRST_HEARTBEAT_S = 0.4


@dataclass(slots=True)
class Traffic:
    """Numbers of frames sent, and of kilobytes between data centres and regions.

    `kb_dc` counts the kilobytes between data centres of the same region.
    """

    frames: int = 0
    kb_dc: float = 0.0
    kb_region: float = 0.0


@dataclass(slots=True)
class Network:
    """Delivers frames between nodes and counts the traffic.

    Attributes
    ----------
    dc_s, region_s : float
        One-way delay to another data centre of the region and to another region,
        seconds. Within a data centre it is 0.2 ms.
    traffic : Traffic
        Traffic so far.
    """

    dc_s: float
    region_s: float
    nodes: list = field(default_factory=list)
    traffic: Traffic = field(default_factory=Traffic)

    def send(self, sender, receiver, size, deliver, *args):
        """Call `deliver(*args)` when a frame of `size` bytes arrives.

        The frame is lost if `sender` or `receiver`, two `Node` objects, restarts before
        the frame arrives, or if the receiver is down then.
        """
        self.traffic.frames += 1
        delay_s = self._transfer_delay_s(
            sender.location, receiver.location, size / 1000.0
        )
        restarts = sender.restarts, receiver.restarts

        def arrive():
            if (sender.restarts, receiver.restarts) == restarts and receiver.up:
                deliver(*args)

        asyncio.get_running_loop().call_later(delay_s, arrive)

    def _transfer_delay_s(self, source, destination, kilobytes):
        """Add the kilobytes to the traffic and return the one-way delay, seconds."""
        if source.dc == destination.dc:
            return 0.0002
        if source.region == destination.region:
            self.traffic.kb_dc += kilobytes
            return self.dc_s
        self.traffic.kb_region += kilobytes
        return self.region_s


class _NullPool:
    """Replaces the connection pool, since the target is not called over HTTP."""

    async def acquire(self, addr, reuse):
        return self

    def release(self, conn):
        """Do nothing."""

    def close(self):
        """Do nothing."""

    def close_idle(self, addr):
        """Do nothing."""


class _SimulatedTargetSide(TargetSide):
    """The target's side of calls, which runs them at a `TargetModel`."""

    def __init__(self, node, clock):
        super().__init__(
            HEADER_NAMES,
            _NullPool(),
            clock,
            node.service,
            TARGET_ADDR,
            lambda: "/",  # health_path
            node.announce,
        )
        self._node = node

    async def _call_target(self, conn, work):
        target_model = self._node.target_model
        expected_id = self.status_tracker.current.target_id
        kind = self._node.kinds[dict(work.frame.headers)[KIND_HEADER]]
        if not target_model.up:
            raise ConnectionRefusedError("the target is down")
        # The header marks a response of the target itself; any value does.
        headers = HTTPHeaders({HEADER_NAMES.response_stamp: "s"})
        if expected_id != target_model.name:
            headers[HEADER_NAMES.not_run] = "1"
            return Response(421, "Misdirected", headers, b"", True)  # reusable
        remaining_s = work.job.deadline_at - self._clock()
        result = await target_model.serve(kind, remaining_s)
        if result.not_run:
            headers[HEADER_NAMES.not_run] = "1"
        headers[HEADER_NAMES.load] = target_model.load_header()
        body = bytes(kind.answer_bytes) if result.status == 200 else b""
        return Response(result.status, "", headers, body, True)  # reusable

    async def _request_health(self):
        await asyncio.sleep(PROBE_S)
        target_model = self._node.target_model
        if not target_model.up:
            raise ConnectionRefusedError("the target is down")
        headers = HTTPHeaders({HEADER_NAMES.target_id: target_model.name})
        headers[HEADER_NAMES.load] = target_model.load_header()
        return Response(200, "", headers, b"", True)  # reusable


class _SimulatedCallerSide(CallerSide):
    """The caller's side of calls, with a given placement policy and random numbers."""

    def __init__(self, node, clock, policy, rng):
        limits = RetryLimits(
            0.2,  # ratio
            10.0,  # window_s
            64.0,  # allowance
        )
        # None: there is no configuration.
        super().__init__(node.service, node.location, node, None, limits, clock)
        self._policy = policy
        self._rng = rng

    def choose(self, call, now):
        return self._policy(
            self.peers.candidates(call.service),
            self.location,
            now,
            # `objective_at` is when the call misses its latency objective.
            CallRequirements(call.objective_at, call.size),
            call.tried,
            self._rng.random(),
        )


class Node:
    """One node with its target and its knowledge of the other nodes.

    Parameters
    ----------
    name, service, dc, region : str
    kinds : dict of str to CallKind
        By name.
    network : Network
    policy : callable
        Has the parameters and the result of `placement.choose`.
    rng : random.Random

    Attributes
    ----------
    target_model : TargetModel
        Set by the creator of the node.
    up : bool
        Whether the node runs.
    restarts : int
        Number of restarts so far.
    candidates_by_node : dict of str to Candidate
        What the node knows of the targets of other nodes, by name of the node.
    """

    def __init__(self, name, service, dc, region, kinds, network, policy, rng):
        self.name = name
        self.service = service
        self.location = Location(dc, region)
        self.member = Member(name, TARGET_ADDR, dc, region, service)
        self.kinds = kinds
        self.network = network
        self.up = True
        self.restarts = 0
        self.target_model = None
        self._policy = policy
        self._rng = rng
        self.clock = asyncio.get_running_loop().time
        network.nodes.append(self)
        self._reset()

    def _reset(self):
        self.target_side = _SimulatedTargetSide(self, self.clock)
        self.caller_side = _SimulatedCallerSide(
            self, self.clock, self._policy, self._rng
        )
        self.candidates_by_node = {}

    # Interface of `Peers` that `CallerSide` uses.

    @property
    def members(self):
        """`Member` of every node of the network."""
        return [node.member for node in self.network.nodes]

    def candidates(self, service):
        """Return the `Candidate` of each node of a service."""
        candidates = []
        for node in self.network.nodes:
            if node.service == service:
                candidate = self._candidate(node)
                if node is self:
                    candidate.note_report(self.target_side.load_report(), self.clock())
                candidates.append(candidate)
        return candidates

    def _candidate(self, node):
        candidate = self.candidates_by_node.get(node.name)
        if candidate is None:
            candidate = self.candidates_by_node[node.name] = Candidate(node.member)
            candidate.reachable = node is self
        return candidate

    def send(self, candidate, make_frame, body, on_frame, on_stall):
        """Send a call to a candidate's node; return a function that cancels it."""
        network = self.network
        destination = next(n for n in network.nodes if n.member is candidate.member)
        frame = make_frame(0)  # stream number, not used here
        candidate.in_flight += 1
        sent_call = _SentCall(self, destination, candidate, on_frame)
        network.send(
            self,
            destination,
            len(body) + HTTP_HEAD_BYTES,
            sent_call.arrive,
            frame,
            body,
        )
        return sent_call.cancel

    # Heartbeats, load reports and restarts.

    def announce(self):
        """Send the load report of this node's target to all other nodes."""
        load = self.target_side.load_report()
        for node in self.network.nodes:
            if node is not self:
                self.network.send(self, node, 0, node.receive_load_report, self, load)

    def receive_load_report(self, node, load):
        """Store another node's report on its target."""
        candidate = self._candidate(node)
        candidate.reachable = True
        candidate.note_report(load, self.clock())

    def send_heartbeat(self):
        """Send a heartbeat of the target to this node."""
        target_model = self.target_model
        if self.up and target_model.up:
            heartbeat = Heartbeat(
                target_model.name,
                TARGET_ADDR,
                self.service,
                target_model.born_ms,
                int(self.clock() * 1000) + 1,  # sequence
                TargetState.READY,
                target_model.traits.slots,
                target_model.remaining_cold_s(),
            )
            self.target_side.handle_heartbeat(heartbeat)

    def pause(self, pause_s):
        """Take no calls for `pause_s` seconds, as in a planned restart of the node.

        Calls that the target has started go on and nothing is forgotten, unlike in
        `restart`.
        """
        self.target_side.stop()
        asyncio.get_running_loop().call_later(pause_s, self._resume)

    def _resume(self):
        self.target_side.stopping = False
        self.announce()

    def restart(self, down_s):
        """Go down for `down_s` seconds and keep only the stored target status."""
        status = self.target_side.status_tracker.current
        # A node stores sequence 0, because it does not store every heartbeat.
        stored = TargetStatus(status.target_id, status.born_ms, 0, status.state)
        self.caller_side.abort()
        self.restarts += 1
        self.up = False
        loop = asyncio.get_running_loop()
        loop.call_later(down_s, self._finish_restart, stored)
        loop.call_later(down_s + FIRST_HEARTBEAT_S, self.send_heartbeat)

    def _finish_restart(self, stored):
        self.up = True
        self._reset()
        self.target_side.restore(stored)
        self.announce()
        for node in self.network.nodes:
            if node is not self and node.up:
                self.network.send(
                    node,
                    self,
                    0,
                    self.receive_load_report,
                    node,
                    node.target_side.load_report(),
                )


class _SentCall:
    """A call sent to the node of a target, until it ends."""

    def __init__(self, source, destination, candidate, on_frame):
        self.source = source
        self.destination = destination
        self.candidate = candidate
        self.on_frame = on_frame
        self.work = None
        self.pending = True

    def arrive(self, frame, body):
        """Submit the call at the target's node."""
        if self.pending:
            self.work = self.destination.target_side.submit(
                frame, body, self._send_response
            )

    def _send_response(self, frame, body):
        size = len(body) + HTTP_HEAD_BYTES
        network = self.source.network
        network.send(
            self.destination, self.source, size, self._deliver_response, frame, body
        )

    def _deliver_response(self, frame, body):
        if not self.pending:
            return
        self.pending = False
        self.candidate.in_flight -= 1
        if self.destination is not self.source:
            self.candidate.note_report(frame.load, self.source.clock())
        self.on_frame(frame, body)

    def cancel(self):
        """Cancel the call at the target's node and ignore its response."""
        if self.pending:
            self.pending = False
            self.candidate.in_flight -= 1
            self.source.network.send(
                self.source, self.destination, 0, self._deliver_cancellation
            )

    def _deliver_cancellation(self):
        if self.work is not None:
            self.destination.target_side.cancel(self.work)
