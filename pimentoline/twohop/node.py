"""pimentoline.twohop.node: the process on a host, put together."""

import asyncio
import gc
import signal
import time
from dataclasses import dataclass, replace

from tornado.httpserver import HTTPServer

from ..errors import ConfigurationError
from ..logs import log_entry
from ..pool import Pool
from .caller_side import CallerSide
from .frontend import Frontend
from .model import Member, RetryLimits
from .peers import Peers
from .placement import Location
from .store_sync import StoreSync
from .target_side import TargetSide

__all__ = ["HostNode", "HostSettings"]

# Callers hear within two questions of a second each that the node stops. Calls that
# come later than this after SIGTERM are refused at once.
STOP_ACCEPT_S = 2.6
# Calls that are open this long before the process is killed get their last answer.
STOP_MARGIN_S = 0.4
CHECK_S = 0.05
TRIM_S = 2.0
# Objects between two collections of the youngest generation; the calls of a second
# make few cycles.
GC_THRESHOLD = 20000


@dataclass(frozen=True, slots=True)
class HostSettings:
    """What this process is; times in seconds.

    Attributes
    ----------
    callers_addr, peers_addr, reports_addr, ready_addr : tuple
        Addresses that this process listens at.
    target_addr : tuple
        Address of the target on this host.
    grace_s : float
        Time from SIGTERM until the process is killed.
    """

    node: str
    dc: str
    region: str
    service: str
    callers_addr: tuple[str, int]
    peers_addr: tuple[str, int]
    reports_addr: tuple[str, int]
    ready_addr: tuple[str, int]
    target_addr: tuple[str, int]
    grace_s: float
    repeats: RetryLimits


class ConfigHolder:
    """The newest configuration; an older one never replaces it.

    Parameters
    ----------
    parse : callable
        Makes a `Configuration` of the operator's text.
    on_change : callable
        Called with each configuration that comes into force.
    """

    def __init__(self, parse, on_change):
        self._parse = parse
        self._on_change = on_change
        self.current = None
        self.text = b""

    @property
    def version(self):
        """Version in force, 0 if there is none."""
        return self.current.version if self.current is not None else 0

    def offer(self, version, text, source):
        """Take a configuration if it is newer than the one in force."""
        if version is not None and version <= self.version:
            return
        try:
            found = self._parse(text)
        except ConfigurationError as exc:
            log_entry("config:refused", source=source, detail=exc.detail[:200])
            return
        if found.version <= self.version:
            return
        before, self.current, self.text = self.version, found, text
        log_entry("config:in-force", version=found.version, was=before, source=source)
        self._on_change(found)


class HostNode:
    """One node: callers, peers, target and store.

    Parameters
    ----------
    cfg : HostSettings
    dialect : HeaderNames
    parse_config : callable
    make_store : callable
        Returns the store client from a `Pool`.
    config_place : tuple of str
        Table and key of the operator's configuration.
    control : callable
        `control(node)` returns the tornado delegate for the reports of the target.
    ready : callable
        `ready(node)` returns the delegate that tells whether the node takes callers.
    """

    def __init__(
        self, cfg, dialect, parse_config, make_store, config_place, control, ready
    ):
        clock = time.monotonic
        self.cfg = cfg
        self.stopping = False
        self.pool = Pool(clock, self._connection_limit)
        self.target = TargetSide(
            dialect,
            self.pool,
            clock,
            cfg.service,
            cfg.target_addr,
            self._health_path,
            self._changed,
        )
        self.config = ConfigHolder(parse_config, self._configured)
        self.peers = Peers(cfg.node, self.target, self.config, clock)
        self.caller_side = CallerSide(
            cfg.service,
            Location(cfg.dc, cfg.region),
            self.peers,
            self.config,
            cfg.repeats,
            clock,
        )
        self.frontend = Frontend(self.caller_side, self.config, dialect)
        me = Member(cfg.node, cfg.peers_addr, cfg.dc, cfg.region, cfg.service)
        self.peers.set_member(me)
        self.store_sync = StoreSync(make_store(self.pool), config_place, me, self)
        self._control = HTTPServer(control(self))
        self._ready = HTTPServer(ready(self))
        self._ended = asyncio.Event()

    def _connection_limit(self, addr):
        if addr != self.cfg.target_addr:
            return 16
        return self.target.admission.limit + 4

    def _health_path(self):
        cfg = self.config.current
        info = cfg.services.get(self.cfg.service) if cfg is not None else None
        return info.health_path if info is not None and info.health_path else "/"

    def _changed(self):
        self.peers.broadcast_load()

    def _configured(self, found):
        self.frontend.configure(found.limits)
        self.peers.broadcast_load()

    @property
    def ready(self):
        """Whether callers may be sent here."""
        return self.config.current is not None and not self.stopping

    async def start(self):
        """Listen and begin to read the store."""
        cfg = self.cfg
        await self.peers.start(cfg.peers_addr)
        self._control.listen(cfg.reports_addr[1], cfg.reports_addr[0], backlog=64)
        self._ready.listen(cfg.ready_addr[1], cfg.ready_addr[0], backlog=64)
        self.frontend.listen(cfg.callers_addr)
        self.store_sync.start()
        self._trimmer = asyncio.get_running_loop().create_task(self._trim())
        log_entry("node:started", node=cfg.node, data=cfg.callers_addr)

    async def run(self):
        """Serve until SIGTERM, then finish what is open."""
        await self.start()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, self.stop)
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD, 20, 20)
        await self._ended.wait()
        await self.close()
        log_entry("node:stopped", node=self.cfg.node)

    async def close(self):
        """Drop everything at once."""
        self._trimmer.cancel()
        self.store_sync.stop()
        self.frontend.stop_listening()
        self.frontend.close_all()
        self._control.stop()
        self._ready.stop()
        self.peers.close()

    async def _trim(self):
        while True:
            await asyncio.sleep(TRIM_S)
            self.pool.close_expired()

    def reload(self, cfg):
        """Take changed settings; addresses stay as they are until a restart."""
        self.cfg = replace(self.cfg, grace_s=cfg.grace_s, repeats=cfg.repeats)
        self.caller_side.set_retry_limits(cfg.repeats)
        log_entry("node:reloaded", node=cfg.node, same=self.cfg == cfg)

    def stop(self):
        """Begin a graceful stop."""
        if not self.stopping:
            self.stopping = True
            log_entry("node:stopping", node=self.cfg.node)
            asyncio.get_running_loop().create_task(self._stop())

    async def _stop(self):
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.frontend.drain()
        self.target.stop()
        last_s = self.cfg.grace_s - STOP_MARGIN_S
        await asyncio.sleep(min(STOP_ACCEPT_S, last_s))
        self.frontend.refuse_all()
        while loop.time() - began < last_s:
            self.frontend.close_idle()
            if not self.frontend.open_requests and not self.target.busy:
                break
            await asyncio.sleep(CHECK_S)
        if self.target.has_left:
            # The host goes with its target; a row for it would only be tried in vain.
            await self.store_sync.remove_with_timeout()
        self.peers.stop_listening()
        self.caller_side.abort()
        self.frontend.close_idle()
        await asyncio.sleep(CHECK_S)
        self._ended.set()
