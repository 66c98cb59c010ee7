"""pimentoline.node: the process that runs in a target host's slot."""

import asyncio
import json
import random
import signal
import time

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from . import effects as ef
from . import events as ev
from .admin import MAX_ADMIN_BODY_BYTES, make_admin_app
from .codec import Codec, Message, RulesReply, RulesRequest, Rumours
from .errors import PimentolineError
from .logs import log_entry
from .mesh import Mesh
from .metrics import Metrics
from .model import Identity, State
from .pool import Pool
from .proxy import MAX_HEAD_BYTES, Proxy
from .publisher import Publisher
from .records import with_own_record
from .reducer import reduce
from .rules import parse
from .store import Store

__all__ = ["Node"]

TICK_S = 0.2
STORE_POLL_S = 10.0
DIRECTORY_PREFIX = "node/"


class Node:
    """One node: state, clock, sockets and the execution of effects.

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
        self.pool = Pool(self.clock)
        self.proxy = Proxy(
            self.dispatch,
            self.pool,
            self.clock,
            self.draw,
            lambda: self.state.rules.ruleset,
        )
        self.mesh = Mesh(Codec.from_config(cfg), self._on_message, self._on_refused)
        self.publisher = Publisher(self)
        self._tasks = []
        self._stopped = asyncio.Event()

    @classmethod
    def from_config(cls, cfg):
        """Make a node from its settings."""
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
        me = Identity(
            node_id, cfg.host, cfg.region, cfg.dc, data_addr, mesh_addr, incarnation
        )
        self.state = State(me, policy=cfg.policy)
        admin_sockets = bind_sockets(cfg.admin_addr[1], cfg.admin_addr[0])
        self.admin_addr = admin_sockets[0].getsockname()[:2]
        self._admin = HTTPServer(
            make_admin_app(self), max_body_size=MAX_ADMIN_BODY_BYTES
        )
        self._admin.add_sockets(admin_sockets)
        await self._join()
        self._server = HTTPServer(
            self.proxy,
            chunk_size=64 * 1024,
            max_header_size=MAX_HEAD_BYTES,
            max_body_size=16 * 1024**3,
        )
        self._server.add_sockets(data_sockets)
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._tick()),
            loop.create_task(self._poll_store()),
        ]
        log_entry("node:started", node=node_id, data=data_addr, mesh=mesh_addr)

    async def _join(self):
        peers = list(self.cfg.seeds)
        if self.store is not None:
            me = self.state.me
            try:
                rows = await self.store.scan(DIRECTORY_PREFIX)
                peers += [tuple(row.value["addr"]) for row in rows]
                row = {"addr": me.mesh_addr, "incarnation": me.incarnation}
                await self.store.commit(puts=[(DIRECTORY_PREFIX + me.node_id, row)])
                await self.publisher.load_from_store()
            except PimentolineError as exc:
                log_entry("store:unavailable", detail=exc.detail)
        self.state = with_own_record(self.state, rules_version=self.state.rules.version)
        own = self.state.mesh.members[self.state.me.node_id]
        for addr in peers:
            if addr != self.state.me.mesh_addr:
                reply = await self.mesh.ask(addr, self.message(Rumours((own,))))
                if reply is not None:
                    self._on_message(reply)

    def dispatch(self, event):
        """Reduce one event and execute its effects."""
        step = reduce(self.state, event)
        self.state = step.state
        for effect in step.effects:
            self._execute(effect)

    def _execute(self, effect):
        match effect:
            case ef.StartAttempt():
                self.proxy.calls[effect.call_id].start_attempt(effect)
            case ef.ForwardAnswer():
                self.proxy.calls[effect.call_id].forward(effect.attempt_id)
            case ef.CancelAttempt():
                self.proxy.calls[effect.call_id].cancel_attempt(effect.attempt_id)
            case ef.RejectCall():
                self.proxy.calls[effect.call_id].reject(
                    effect.status, effect.code, effect.verdict, effect.detail
                )
            case ef.ScheduleHedge():
                loop = asyncio.get_running_loop()
                loop.call_later(effect.delay_s, self._hedge_due, effect.call_id)
            case ef.SendRumours():
                self.mesh.send(effect.addr, self.message(Rumours(effect.records)))
            case ef.FetchRules():
                asyncio.get_running_loop().create_task(self._fetch_rules(effect))
            case ef.InsertClaim() | ef.ReleaseClaim() | ef.FinishClaim():
                asyncio.get_running_loop().create_task(self.publisher.claim(effect))
            case ef.Count():
                self.metrics.count(effect.name, effect.amount)
            case ef.LogEntry():
                log_entry(effect.name, **dict(effect.fields))

    def _hedge_due(self, call_id):
        handler = self.proxy.calls.get(call_id)
        if handler is not None and handler.body_complete:
            self.dispatch(
                ev.HedgeDue(self.clock(), self.draw(), call_id, handler.replayable)
            )

    def message(self, body):
        """Return a message from this node."""
        me = self.state.me
        return Message(me.node_id, me.incarnation, self.state.rules.version, body)

    def _on_message(self, message):
        now = self.clock()
        reply = None
        match message.body:
            case Rumours(records):
                self.dispatch(ev.MembersHeard(now, records))
                reply = self.message(Rumours(tuple(self.state.mesh.members.values())))
            case RulesRequest(version) if version <= self.state.rules.version:
                rules = self.state.rules
                reply = self.message(RulesReply(rules.version, rules.text))
            case RulesReply(version, text):
                self.load_rules(version, text, message.sender)
        if message.rules_version > self.state.rules.version:
            self.dispatch(ev.RulesHeard(now, message.rules_version, message.sender))
        return reply

    def _on_refused(self, exc):
        self.metrics.count("mesh.refused")

    async def _fetch_rules(self, effect):
        if effect.addr is not None:
            reply = await self.mesh.ask(
                effect.addr, self.message(RulesRequest(effect.version))
            )
            if reply is not None and isinstance(reply.body, RulesReply):
                self._on_message(reply)
                return
        await self.publisher.load_from_store()

    def load_rules(self, version, text, source):
        """Validate a rules text and hand it to the reducer."""
        result = parse(text)
        if result.ruleset is None:
            self.metrics.count("rules.invalid")
            return
        self.dispatch(
            ev.RulesLoaded(self.clock(), version, text, result.ruleset, source)
        )

    async def _tick(self):
        while True:
            await asyncio.sleep(TICK_S)
            self.dispatch(ev.Tick(self.clock(), self.draw()))
            self.pool.trim()

    async def _poll_store(self):
        while self.store is not None:
            await asyncio.sleep(STORE_POLL_S * self.random.uniform(0.8, 1.2))
            await self.publisher.load_from_store()

    async def stop(self):
        """Stop gracefully: finish every call in flight, tell the peers, end."""
        if self.state.stopping:
            return
        self.dispatch(ev.StopRequested(self.clock()))
        self._server.stop()
        await self.proxy.wait_idle()
        self._admin.stop()
        for task in self._tasks:
            task.cancel()
        self.mesh.close()
        self.metrics.flush()
        log_entry("node:stopped", node=self.state.me.node_id)
        self._stopped.set()

    async def run(self):
        """Serve until SIGTERM or SIGINT; prints the addresses once it serves."""
        await self.start()
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, lambda: loop.create_task(self.stop()))
        me = self.state.me
        print(
            json.dumps(
                {
                    "node": me.node_id,
                    "data": me.data_addr,
                    "mesh": me.mesh_addr,
                    "admin": self.admin_addr,
                }
            ),
            flush=True,
        )
        await self._stopped.wait()
