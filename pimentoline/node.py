"""pimentoline.node: the load balancer process that runs on each host."""

import asyncio
import gc
import json
import random
import signal
import time
from collections import deque

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from . import effects as ef
from . import events as ev
from .admin import MAX_ADMIN_BODY_BYTES, make_admin_app
from .claim_writer import ClaimWriter
from .codec import Codec
from .connection_limits import ConnectionLimits
from .errors import NewerMessageError
from .logs import log_entry
from .member_records import own_record, with_own_record
from .mesh_transport import MeshTransport
from .messages import (
    Message,
    RulesPush,
    RulesReply,
    RulesRequest,
)
from .metrics import Metrics
from .model import Identity, RulesState, State
from .peer_discovery import PeerDiscovery
from .pool import MAX_CONNECTIONS_PER_TARGET, Pool
from .prober import Prober
from .proxy import DataServer, Proxy
from .publisher import Publisher
from .reducer import reduce
from .rules import parse
from .store import Store

__all__ = ["Node"]

TICK_INTERVAL_S = 0.2
STORE_POLL_INTERVAL_S = 10.0
# Threshold of the youngest garbage collector generation, in allocations. Proxying one
# call allocates some hundreds of objects. These are freed by reference counting, so
# frequent collections are not needed.
GC_THRESHOLD = 10_000
# A stopping node announces to its peers during this many ticks that it is leaving. Each
# tick is one gossip round, which sends to three peers, and all three datagrams of a
# single round could be lost.
LEAVE_TICKS = 2
# A stopping node waits up to this long for writes to claims that are still being
# retried because the store is unavailable. A claim is an entry in the store that lets
# at most one of the calls with the same idempotency key run (see `ClaimWriter`).
CLAIM_WRITE_TIMEOUT_S = 10.0


class Node:
    """A node: holds its state, clock and sockets, and executes the reducer's effects.

    Parameters
    ----------
    cfg : NodeConfig
    """

    def __init__(self, cfg):
        self.cfg = cfg
        self.clock = time.monotonic
        self.random = random.Random()
        self.state = None
        self.metrics = Metrics.from_config(cfg)
        self.store = Store.from_config(cfg, self.metrics) if cfg.store_url else None
        limits = ConnectionLimits(lambda: self.state, MAX_CONNECTIONS_PER_TARGET)
        self.pool = Pool(self.clock, limits.limit_for)
        self.proxy = Proxy(
            self.dispatch,
            self.pool,
            self.clock,
            self.draw,
            lambda: self.state.rules.ruleset,
        )
        self.prober = Prober(self.dispatch, self.clock)
        self.claims = ClaimWriter(
            self.store,
            lambda: f"{self.state.identity.node_id}/{self.state.identity.incarnation}",
            lambda call_id: call_id in self.state.traffic.calls,
            self.dispatch,
            self.clock,
            self.draw,
            self.metrics.count,
        )
        self.mesh = MeshTransport(
            Codec.from_config(cfg), self._on_message, self._on_message_error
        )
        self.publisher = Publisher(self)
        self.peer_discovery = PeerDiscovery(self)
        # Body of the reply to the message being handled, set by the effect `Reply`.
        self._reply = None
        self._tasks = []
        self._events = deque()
        self._dispatching = False
        self._stopped = asyncio.Event()

    @classmethod
    def from_config(cls, cfg):
        """Return a node with the given settings."""
        return cls(cfg)

    def draw(self):
        """Return a random 64-bit integer."""
        return self.random.getrandbits(64)

    async def start(self):
        """Bind the sockets, join the mesh and serve."""
        cfg = self.cfg
        mesh_addr = self.mesh.bind_addr(cfg.mesh_addr)
        data_sockets = bind_sockets(cfg.data_addr[1], cfg.data_addr[0])
        data_addr = data_sockets[0].getsockname()[:2]
        node_id = cfg.node_id or f"{cfg.host}:{data_addr[1]}"
        incarnation = int(time.time() * 1000)
        identity = Identity(
            node_id, cfg.host, cfg.region, cfg.dc, data_addr, mesh_addr, incarnation
        )
        self.state = State(
            identity, RulesState(version_check_pending=True), policy=cfg.policy
        )
        self.state = with_own_record(self.state)
        admin_sockets = bind_sockets(cfg.admin_addr[1], cfg.admin_addr[0])
        self.admin_addr = admin_sockets[0].getsockname()[:2]
        self._admin = HTTPServer(
            make_admin_app(self), max_body_size=MAX_ADMIN_BODY_BYTES
        )
        self._admin.add_sockets(admin_sockets)
        await self.peer_discovery.join()
        self._server = DataServer(self.proxy)
        self._server.add_sockets(data_sockets)
        # Detects pauses of the process, during which requests wait in the kernel.
        self.proxy.arrival_clock.start()
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._tick()),
            loop.create_task(self._poll_store()),
            loop.create_task(self.peer_discovery.run()),
        ]
        log_entry("node:started", node=node_id, data=data_addr, mesh=mesh_addr)

    def dispatch(self, event):
        """Apply one event to the state and execute the resulting effects.

        An event dispatched while effects are executed waits until they are done.
        """
        self._events.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._events:
                step = reduce(self.state, self._events.popleft())
                self.state = step.state
                for effect in step.effects:
                    self._execute(effect)
        finally:
            self._dispatching = False

    def _execute(self, effect):
        match effect:
            case ef.StartAttempt() | ef.ForwardResponse() | ef.CancelAttempt():
                self.proxy.execute(effect)
            case ef.RejectCall() | ef.ReplayResponse():
                self.proxy.execute(effect)
            case ef.ScheduleHedge():
                loop = asyncio.get_running_loop()
                loop.call_later(effect.delay_s, self._hedge_due, effect.call_id)
            case ef.SendProbe():
                self.prober.send(effect)
            case ef.SendMessage():
                self.mesh.send(effect.addrs, self.make_message(effect.body))
            case ef.QueryPeer():
                asyncio.get_running_loop().create_task(
                    self.send_request(effect.addr, effect.body)
                )
            case ef.Reply():
                self._reply = effect.body
            case ef.FetchRules():
                asyncio.get_running_loop().create_task(self._fetch_rules(effect))
            case ef.InsertClaim() | ef.ReleaseClaim() | ef.FinishClaim():
                self.claims.execute(effect)
            case ef.IncrementCounter():
                self.metrics.count(effect.name, effect.amount)
            case ef.LogEntry():
                log_entry(effect.name, **dict(effect.fields))

    def _hedge_due(self, call_id):
        handler = self.proxy.calls.get(call_id)
        if handler is not None and handler.body_complete:
            self.dispatch(
                ev.HedgeDue(self.clock(), self.draw(), call_id, handler.replayable)
            )

    def make_message(self, body):
        """Return a message from this node with the given body."""
        rules = self.state.rules
        return Message(
            self.state.identity.node_id,
            own_record(self.state).incarnation,
            rules.version,
            body,
            rules.known_version,
            rules.confirmed,
        )

    def _on_message(self, message, addr=None, is_reply=False):
        """Handle a message and return the reply, or None."""
        if message.skipped_records:
            self.metrics.count("mesh.records_skipped", message.skipped_records)
        match message.body:
            case RulesReply(version, text) | RulesPush(version, text):
                self.load_rules(version, text, message.sender)
        self._reply = None
        self.dispatch(
            ev.MessageReceived(
                self.clock(),
                message.sender,
                addr,
                message.body,
                message.rules_version,
                message.known_rules_version,
                message.rules_confirmed,
                is_reply,
            )
        )
        reply, self._reply = self._reply, None
        return None if reply is None else self.make_message(reply)

    def _on_message_error(self, exc):
        newer = isinstance(exc, NewerMessageError)
        self.metrics.count("mesh.newer" if newer else "mesh.refused")

    async def send_request(self, addr, body):
        """Send a request over TCP, handle the reply and return its body or None."""
        reply = await self.mesh.send_request(addr, self.make_message(body))
        if reply is None:
            self.metrics.count("mesh.unanswered")
            return None
        self._on_message(reply, addr, is_reply=True)
        return reply.body

    async def _fetch_rules(self, effect):
        if effect.addr is not None:
            await self.send_request(effect.addr, RulesRequest(effect.version))
            rules = self.state.rules
            # This node refuses calls until its version check ends. A reply from a peer
            # whose own check has not ended cannot end it; the store can.
            if rules.version >= effect.version and not rules.version_check_pending:
                return
        await self.publisher.load_from_store()

    def load_rules(self, version, text, source):
        """Parse a rules text and dispatch it to the reducer if it is valid."""
        result = parse(text)
        if result.ruleset is None:
            self.metrics.count("rules.invalid")
            return
        self.dispatch(
            ev.RulesLoaded(self.clock(), version, text, result.ruleset, source)
        )

    async def _tick(self):
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.dispatch(ev.Tick(self.clock(), self.draw()))
            self.pool.close_expired()
            for name, amount in self.mesh.take_byte_counts():
                self.metrics.count(name, amount)

    async def _poll_store(self):
        while self.store is not None:
            await asyncio.sleep(STORE_POLL_INTERVAL_S * self.random.uniform(0.8, 1.2))
            await self.publisher.load_from_store()

    async def stop(self):
        """Finish the calls in flight, tell the peers that the node leaves, and stop."""
        if self.state.stopping:
            return
        self.dispatch(ev.StopRequested(self.clock()))
        await self.proxy.stop(self._server)
        await self.claims.wait_idle(CLAIM_WRITE_TIMEOUT_S)
        await asyncio.sleep(LEAVE_TICKS * TICK_INTERVAL_S)
        self._admin.stop()
        for task in self._tasks:
            task.cancel()
        self.mesh.close()
        self.metrics.flush()
        log_entry("node:stopped", node=self.state.identity.node_id)
        self._stopped.set()

    async def run(self):
        """Serve until SIGTERM or SIGINT; print the addresses as JSON once ready."""
        await self.start()
        # Objects made during start-up live as long as the process. Excluding them from
        # garbage collection shortens a full collection from tens of milliseconds to a
        # fraction of one millisecond.
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD)
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, lambda: loop.create_task(self.stop()))
        identity = self.state.identity
        print(
            json.dumps(
                {
                    "node": identity.node_id,
                    "data": identity.data_addr,
                    "mesh": identity.mesh_addr,
                    "admin": self.admin_addr,
                }
            ),
            flush=True,
        )
        await self._stopped.wait()
