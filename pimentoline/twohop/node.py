"""pimentoline.twohop.node: the process that runs on each host.

A call passes through two nodes: the one on the caller's host and the one on the host
of the target.
"""

import asyncio
import gc
import signal
import time
from dataclasses import dataclass, replace

from tornado.httpserver import HTTPServer

from ..errors import ConfigurationError
from ..keepalive import Keepalive
from ..logs import log_entry
from ..pool import Pool
from ..tasks import start_task
from .bodies import NodeMemory
from .caller_side import CallerSide
from .frontend import Frontend
from .model import Member, RetryLimits
from .peers import Peers
from .placement import Location
from .store_sync import StoreSync
from .target_side import TargetSide

__all__ = ["HostNode", "HostSettings"]

# Time after SIGTERM in which requests are still served, seconds. Callers notice within
# two readiness checks, one second apart, that the node is stopping. Later requests are
# refused immediately.
STOP_NOTICE_S = 2.6
# Open calls are ended this long before the process is killed, seconds, so that their
# callers still get a response.
STOP_MARGIN_S = 0.4
STOP_CHECK_INTERVAL_S = 0.05
POOL_CLEANUP_INTERVAL_S = 2.0
STORE_CONNECTIONS = 16
# Descriptors for files, and sockets for servers, heartbeats, readiness checks and links
# from nodes that are not known yet.
FILE_DESCRIPTORS = 200
OTHER_SOCKETS = 64
# A watch waits for its response for many seconds. If its connection goes silent, TCP
# closes it within 2 s, so that the next read still sees a change in time.
POOL_KEEPALIVE = Keepalive(idle_s=1, interval_s=1, count=1, user_timeout_ms=2000)
# Objects allocated between two collections of the youngest generation. Calls create few
# reference cycles, so rare collections are enough.
GC_THRESHOLD = 20000


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of a node.

    Attributes
    ----------
    node : str
        Name of the node.
    dc, region : str
        Data centre of the host, and its region.
    service : str
        Service of the target on this host.
    callers_addr, peers_addr : tuple
        Addresses to listen at for callers and for other nodes.
    heartbeats_addr, ready_addr : tuple
        Addresses to listen at for heartbeats and for readiness checks.
    target_addr : tuple
        Address of the target on this host.
    grace_s : float
        Time from SIGTERM until the process is killed, seconds.
    retry_limits : RetryLimits
    memory_bytes : int
        Memory that the process may use.
    max_descriptors : int
        Descriptors that the process may open.
    """

    node: str
    dc: str
    region: str
    service: str
    callers_addr: tuple[str, int]
    peers_addr: tuple[str, int]
    heartbeats_addr: tuple[str, int]
    ready_addr: tuple[str, int]
    target_addr: tuple[str, int]
    grace_s: float
    retry_limits: RetryLimits
    memory_bytes: int = 300_000_000
    max_descriptors: int = 4100


class ConfigHolder:
    """Holds the configuration in force; an older version never replaces it.

    Parameters
    ----------
    parse : callable
        Returns the `Configuration` from the operator's text, or raises
        `ConfigurationError`.
    on_change : callable
        Called with each configuration that comes into force.

    Attributes
    ----------
    current : Configuration or None
        Configuration in force.
    text : bytes
        The operator's text of the configuration in force.
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
        """Put a configuration into force if it is newer than the current one.

        Parameters
        ----------
        version : int or None
            Version of the configuration; None if only `text` contains it.
        text : bytes
        source : str
            Where it was received from, for the log.
        """
        if version is not None and version <= self.version:
            return
        try:
            config = self._parse(text)
        except ConfigurationError as exc:
            log_entry("config:refused", source=source, detail=exc.detail[:200])
            return
        if config.version < self.version:
            log_entry(
                "config:older",
                version=config.version,
                known=self.version,
                source=source,
            )
        if config.version <= self.version:
            return
        previous_version, self.current, self.text = self.version, config, text
        log_entry(
            "config:in-force",
            version=config.version,
            was=previous_version,
            source=source,
        )
        self._on_change(config)


class HostNode:
    """Creates and connects the parts of a node, and starts and stops them.

    Parameters
    ----------
    cfg : HostSettings
    header_names : HeaderNames
    parse_config : callable
        As `parse` of `ConfigHolder`.
    make_store : callable
        Returns a store client that uses the given `Pool`.
    config_row : tuple of str
        Table and key of the operator's configuration.
    make_heartbeat_delegate : callable
        `make_heartbeat_delegate(node)` returns the tornado delegate that receives the
        heartbeats of the target.
    make_ready_delegate : callable
        `make_ready_delegate(node)` returns the tornado delegate for readiness checks.
    """

    def __init__(
        self,
        cfg,
        header_names,
        parse_config,
        make_store,
        config_row,
        make_heartbeat_delegate,
        make_ready_delegate,
    ):
        clock = time.monotonic
        self.cfg = cfg
        self.stopping = False
        self.pool = Pool(clock, self._connection_limit, POOL_KEEPALIVE)
        self.memory = NodeMemory.from_machine(cfg.memory_bytes)
        self.target = TargetSide(
            header_names,
            self.pool,
            clock,
            cfg.service,
            cfg.target_addr,
            self._health_path,
            self._target_changed,
            self._store_target_status,
            self.memory.responses,
        )
        self.config = ConfigHolder(parse_config, self._apply_config)
        self.peers = Peers(
            cfg.node,
            self.target,
            self.config,
            clock,
            self.memory,
            self._note_peer_read,
        )
        self.caller_side = CallerSide(
            cfg.service,
            Location(cfg.dc, cfg.region),
            self.peers,
            self.config,
            cfg.retry_limits,
            clock,
        )
        self.frontend = Frontend(
            self.caller_side,
            self.config,
            header_names,
            self.memory,
            self._caller_limit,
        )
        member = Member(cfg.node, cfg.peers_addr, cfg.dc, cfg.region, cfg.service)
        self.peers.set_member(member)
        self.store_sync = StoreSync(make_store(self.pool), config_row, member, self)
        self._heartbeat_server = HTTPServer(make_heartbeat_delegate(self))
        self._ready_server = HTTPServer(make_ready_delegate(self))
        self._stopped = asyncio.Event()

    def _connection_limit(self, addr):
        """Return the maximum number of connections of the pool to an address.

        Addresses other than the target's are those of the store. The target gets more
        connections than concurrent calls, so that a probe need not wait for one.
        """
        if addr != self.cfg.target_addr:
            return STORE_CONNECTIONS
        return self.target.admission.limit + 4

    def _caller_limit(self):
        """Return the maximum number of connections of callers."""
        used = FILE_DESCRIPTORS + OTHER_SOCKETS + STORE_CONNECTIONS
        used += self._connection_limit(self.cfg.target_addr)
        # Each of two nodes opens a link to the other.
        used += 2 * len(self.peers.members)
        return min(self.cfg.max_descriptors - used, self.memory.max_connections)

    def _health_path(self):
        config = self.config.current
        if config is None:
            return None
        info = config.services.get(self.cfg.service)
        return info.health_path if info is not None and info.health_path else "/"

    def _target_changed(self):
        self.peers.broadcast_load()

    def _note_peer_read(self):
        self.store_sync.note_peer_read()

    def _store_target_status(self):
        self.store_sync.save_in_background()

    def _apply_config(self, config):
        self.frontend.configure(config.limits)
        self.target.seek_proof()
        self.peers.broadcast_load()

    @property
    def ready(self):
        """Whether the node is ready for callers."""
        return self.config.current is not None and not self.stopping

    async def start(self):
        """Listen at the addresses of the settings and start to follow the store."""
        cfg = self.cfg
        await self.peers.start(cfg.peers_addr)
        self._heartbeat_server.listen(
            cfg.heartbeats_addr[1], cfg.heartbeats_addr[0], backlog=64
        )
        self._ready_server.listen(cfg.ready_addr[1], cfg.ready_addr[0], backlog=64)
        self.frontend.listen(cfg.callers_addr)
        self.store_sync.start()
        self._pool_cleanup_task = start_task(self._clean_up_pool(), "clean up pool")
        log_entry("node:started", node=cfg.node, data=cfg.callers_addr)

    async def run(self):
        """Serve until SIGTERM, then stop gracefully."""
        await self.start()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, self.stop)
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD, 20, 20)
        await self._stopped.wait()
        await self.close()
        log_entry("node:stopped", node=self.cfg.node)

    async def close(self):
        """Close all servers and connections without waiting for calls."""
        self._pool_cleanup_task.cancel()
        self.store_sync.stop()
        self.frontend.stop_listening()
        self.frontend.close_all()
        self._heartbeat_server.stop()
        self._ready_server.stop()
        self.peers.close()

    async def _clean_up_pool(self):
        while True:
            await asyncio.sleep(POOL_CLEANUP_INTERVAL_S)
            self.pool.close_expired()

    def reload(self, cfg):
        """Apply changed settings.

        Only `grace_s` and `retry_limits` take effect; the others require a restart.
        """
        self.cfg = replace(self.cfg, grace_s=cfg.grace_s, retry_limits=cfg.retry_limits)
        self.caller_side.set_retry_limits(cfg.retry_limits)
        log_entry("node:reloaded", node=cfg.node, same=self.cfg == cfg)

    def stop(self):
        """Start a graceful stop."""
        if not self.stopping:
            self.stopping = True
            log_entry("node:stopping", node=self.cfg.node)
            start_task(self._stop(), "stop")

    async def _stop(self):
        loop = asyncio.get_running_loop()
        stop_began_at = loop.time()
        self.frontend.drain()
        self.target.stop()
        stop_limit_s = self.cfg.grace_s - STOP_MARGIN_S
        await asyncio.sleep(min(STOP_NOTICE_S, stop_limit_s))
        self.frontend.refuse_all()
        while loop.time() - stop_began_at < stop_limit_s:
            self.frontend.close_idle()
            if not self.frontend.busy and not self.target.busy:
                break
            await asyncio.sleep(STOP_CHECK_INTERVAL_S)
        if self.target.has_left:
            # The host is usually removed with its target. Other nodes would try in vain
            # to connect to it.
            await self.store_sync.mark_stopped_with_timeout()
        self.peers.stop_listening()
        self.caller_side.abort()
        self.frontend.close_idle()
        await asyncio.sleep(STOP_CHECK_INTERVAL_S)
        self._stopped.set()
