"""pimentoline.twohop.peers: the other nodes, and the calls sent to them."""

import asyncio
import json
from dataclasses import asdict, dataclass

from ..logs import log_entry
from ..verdict import Verdict
from . import frames as fr
from .links import CHECK_S, connect, listen
from .model import LoadReport, Member
from .placement import Candidate

__all__ = ["Peers"]

# Pause before a node that could not be reached is tried again, seconds.
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 2.0
# A node that hears of a newer configuration waits this long for the store's own
# answer before it asks the peer, seconds.
CONFIG_PATIENCE_S = 0.15


@dataclass(slots=True, eq=False)
class _Assembly:
    """A frame whose body has not come in full."""

    frame: object
    pieces: list
    missing: int


class _Parts:
    """Frames of a link whose bodies come in pieces, by stream."""

    def __init__(self):
        self._open = {}

    def begin(self, frame, body):
        """Return the whole body if it came with its frame, or None."""
        self._open[frame.stream] = _Assembly(frame, [], frame.body_bytes)
        found = self.add(frame.stream, body)
        return found[1] if found is not None else None

    def add(self, stream, piece):
        """Return (frame, body) if this was the last piece, or None."""
        part = self._open.get(stream)
        if part is None:
            return None
        part.pieces.append(piece)
        part.missing -= len(piece)
        if part.missing > 0:
            return None
        del self._open[stream]
        return part.frame, b"".join(part.pieces)

    def drop(self, stream):
        """Forget a stream."""
        self._open.pop(stream, None)

    def clear(self):
        """Forget every stream."""
        self._open.clear()


class _Outgoing:
    """The link to one member and the calls on it."""

    def __init__(self, peers, candidate):
        self.peers = peers
        self.candidate = candidate
        self.link = None
        self.calls = {}
        self.stalled = {}
        self.parts = _Parts()
        self.next_stream = 0
        self.closed = False
        self.alive = asyncio.Event()
        self.task = asyncio.get_running_loop().create_task(self._keep_connected())

    async def _keep_connected(self):
        pause_s = FIRST_RETRY_S
        member = self.candidate.member
        while not self.closed:
            self.lost = asyncio.Event()
            try:
                self.link = await connect(member.addr, self, self.peers.clock)
            except (OSError, TimeoutError):
                await self._pause(pause_s)
                pause_s = min(pause_s * 2, MAX_RETRY_S)
                continue
            await self.lost.wait()
            pause_s = FIRST_RETRY_S
            await self._pause(pause_s)

    async def _pause(self, pause_s):
        """Wait, but no longer than until the member shows that it is up."""
        self.alive.clear()
        try:
            async with asyncio.timeout(pause_s):
                await self.alive.wait()
        except TimeoutError:
            return

    def link_up(self, link):
        """Greet the peer."""
        link.peer = self.candidate.member.node
        link.send(self.peers.hello())

    def link_suspect(self, link, suspect):
        """Place no new calls on a silent link, and tell those that wait there."""
        self.candidate.reachable = not suspect
        log_entry("peer:suspect", node=link.peer, suspect=suspect)
        if suspect:
            for on_stall in list(self.stalled.values()):
                on_stall()

    def link_lost(self, link, reason):
        """End the calls on the link; they may have run."""
        self.candidate.reachable = False
        self.stalled.clear()
        log_entry("peer:lost", node=link.peer, reason=reason, calls=len(self.calls))
        self.parts.clear()
        calls, self.calls = self.calls, {}
        self.candidate.in_flight = 0
        self.candidate.in_flight_at_report = 0
        self.lost.set()
        for stream, on_frame in calls.items():
            frame = fr.FailedFrame(
                stream, "peer-lost", Verdict.MAY_HAVE_RUN, LoadReport()
            )
            on_frame(frame, b"")

    def frame_received(self, link, frame, body):
        """Take an answer, or what a peer says of itself."""
        match frame:
            case fr.Hello():
                if frame.node != self.candidate.member.node:
                    link.close("another node has this address")
                    return
                self.candidate.reachable = True
                self._note_load(frame.load)
                self.peers.version_heard(link, frame.version)
            case fr.LoadFrame():
                self._note_load(frame.load)
                self.peers.version_heard(link, frame.version)
            case fr.ResponseFrame():
                whole = self.parts.begin(frame, body)
                if whole is not None:
                    self._done(frame, whole)
            case fr.BodyFrame():
                found = self.parts.add(frame.stream, body)
                if found is not None:
                    self._done(*found)
            case fr.RefusedFrame() | fr.FailedFrame():
                self._done(frame, b"")
            case _:
                self.peers.control_frame(link, frame, body)

    def _note_load(self, load):
        self.candidate.note_report(load, self.peers.clock())

    def _done(self, frame, body):
        on_frame = self._forget(frame.stream)
        if on_frame is not None:
            self._note_load(frame.load)
            on_frame(frame, body)

    def _forget(self, stream):
        """Return who waits for a stream, and count its call no more."""
        on_frame = self.calls.pop(stream, None)
        if on_frame is not None:
            del self.stalled[stream]
            self.link.due -= 1
            self.candidate.in_flight -= 1
        return on_frame

    def send(self, make_frame, body, on_frame, on_stall):
        """Send a call; return its stream number."""
        self.next_stream += 1
        stream = self.next_stream
        self.calls[stream] = on_frame
        self.stalled[stream] = on_stall
        self.candidate.in_flight += 1
        self.link.due += 1
        self.link.send(make_frame(stream), body)
        return stream

    def cancel(self, stream):
        """Withdraw a call."""
        if self._forget(stream) is not None:
            self.parts.drop(stream)
            self.link.send(fr.CancelFrame(stream))

    def close(self):
        """Drop the link for good."""
        self.closed = True
        self.task.cancel()
        if self.link is not None and not self.link.closed:
            self.link.close("member removed")


class _Incoming:
    """The calls of one peer at this node's target."""

    def __init__(self, peers):
        self.peers = peers
        self.works = {}
        self.parts = _Parts()

    def link_up(self, link):
        """Greet the peer."""
        self.peers.incoming[link] = self
        link.send(self.peers.hello())

    def link_lost(self, link, reason):
        """Drop the peer's calls."""
        self.peers.incoming.pop(link, None)
        works, self.works = self.works, {}
        for work in works.values():
            self.peers.target.cancel(work)

    def frame_received(self, link, frame, body):
        """Take a call or a cancellation."""
        match frame:
            case fr.CallFrame():
                whole = self.parts.begin(frame, body)
                if whole is not None:
                    self._submit(link, frame, whole)
            case fr.BodyFrame():
                found = self.parts.add(frame.stream, body)
                if found is not None:
                    self._submit(link, *found)
            case fr.CancelFrame():
                self.parts.drop(frame.stream)
                work = self.works.pop(frame.stream, None)
                if work is not None:
                    self.peers.target.cancel(work)
            case fr.Hello():
                link.peer = frame.node
                self.peers.is_up(frame.node)
                self.peers.version_heard(link, frame.version)
                self.peers.greet_newcomer(link, frame.version)
            case fr.LoadFrame():
                self.peers.version_heard(link, frame.version)
            case _:
                self.peers.control_frame(link, frame, body)

    def _submit(self, link, call, whole):
        stream = call.stream

        def reply(frame, body):
            self.works.pop(stream, None)
            link.send(frame, body)

        work = self.peers.target.submit(call, whole, reply)
        if not work.ended:
            self.works[stream] = work


class Peers:
    """Links to every member, and candidates for placement.

    Parameters
    ----------
    me : str
        Name of this node.
    target : TargetSide
    config : object
        `version`, `text` and `offer(version, text, source)`.
    clock : callable
        Monotonic clock, seconds.
    """

    def __init__(self, me, target, config, clock):
        self.me = me
        self.target = target
        self.config = config
        self.clock = clock
        self.incoming = {}
        self.outgoing = {}
        self.local = None
        self._by_service = {}
        self._server = None
        self._checker = None

    async def start(self, addr):
        """Accept links at `addr`."""
        self._server = await listen(addr, _Handlers(self), self.clock)
        self._checker = asyncio.get_running_loop().create_task(self._check())

    async def _check(self):
        while True:
            await asyncio.sleep(CHECK_S)
            now = self.clock()
            for out in self.outgoing.values():
                if out.link is not None:
                    out.link.check(now)

    def hello(self):
        """Return the greeting of this moment."""
        return fr.Hello(self.me, self.config.version, self.target.load_report())

    # Members.

    @property
    def members(self):
        """Every known member, this node's own included."""
        found = [out.candidate.member for out in self.outgoing.values()]
        if self.local is not None:
            found.append(self.local.member)
        return found

    def set_member(self, member):
        """Add a member or replace what is known of it."""
        if member.node == self.me:
            if self.local is None or self.local.member != member:
                self.local = Candidate(member, reachable=True)
                self._arrange()
            return
        out = self.outgoing.get(member.node)
        if out is not None and out.candidate.member == member:
            return
        if out is not None:
            out.close()
        log_entry("member:set", node=member.node, service=member.service)
        self.outgoing[member.node] = _Outgoing(self, Candidate(member))
        self._arrange()

    def is_up(self, node):
        """Connect now to a member that has just connected to this node."""
        out = self.outgoing.get(node)
        if out is not None:
            out.alive.set()

    def remove_member(self, node):
        """Forget a member."""
        out = self.outgoing.pop(node, None)
        if out is not None:
            log_entry("member:removed", node=node)
            out.close()
            self._arrange()

    def _arrange(self):
        found = {}
        for out in self.outgoing.values():
            service = out.candidate.member.service
            found.setdefault(service, []).append(out.candidate)
        if self.local is not None:
            found.setdefault(self.local.member.service, []).append(self.local)
        self._by_service = found

    def candidates(self, service):
        """Return the candidates of a service; the local report is refreshed."""
        local = self.local
        if local is not None and local.member.service == service:
            local.note_report(self.target.load_report(), self.clock())
        return self._by_service.get(service, ())

    # Calls.

    def send(self, candidate, make_frame, body, on_frame, on_stall):
        """Send a call to a candidate; return a function that cancels it.

        `on_frame(frame, body)` is called once, unless the call is cancelled, and
        `on_stall()` when the link to the candidate goes silent.
        """
        if candidate is self.local:
            return self._send_local(candidate, make_frame, body, on_frame)
        out = self.outgoing.get(candidate.member.node)
        if out is None or not candidate.reachable:
            frame = fr.FailedFrame(0, "peer-lost", Verdict.NOT_RUN, LoadReport())
            loop = asyncio.get_running_loop()
            return loop.call_soon(on_frame, frame, b"").cancel
        stream = out.send(make_frame, body, on_frame, on_stall)
        return lambda: out.cancel(stream)

    def _send_local(self, candidate, make_frame, body, on_frame):
        candidate.in_flight += 1

        def reply(frame, body):
            candidate.in_flight -= 1
            on_frame(frame, body)

        def cancel():
            if not work.ended and not work.cancelled:
                candidate.in_flight -= 1
                self.target.cancel(work)

        work = self.target.submit(make_frame(0), body, reply)
        return cancel

    # What concerns all peers.

    def broadcast_load(self):
        """Tell every peer the load and the configuration's version."""
        frame = fr.LoadFrame(self.target.load_report(), self.config.version)
        for link in list(self.incoming):
            link.send(frame)

    def version_heard(self, link, version):
        """Ask for a newer configuration, unless it comes by itself."""
        if version > self.config.version:
            loop = asyncio.get_running_loop()
            patience_s = CONFIG_PATIENCE_S if self.config.version else 0.0
            loop.call_later(patience_s, self._ask_config, link, version)

    def _ask_config(self, link, version):
        if version > self.config.version:
            link.send(fr.ConfigWanted())

    def greet_newcomer(self, link, version):
        """Give a peer that has no configuration what this node knows."""
        if version == 0 and self.config.version:
            link.send(fr.MembersFrame(), self._members_text())

    def _members_text(self):
        return json.dumps([asdict(member) for member in self.members]).encode()

    def control_frame(self, link, frame, body):
        """Give or take the configuration and the members."""
        match frame:
            case fr.ConfigWanted():
                if self.config.version:
                    link.send(fr.ConfigFrame(self.config.version), self.config.text)
            case fr.ConfigFrame():
                self.config.offer(frame.version, body, f"peer {link.peer}")
            case fr.MembersFrame():
                self._take_members(link, body)
            case _:
                link.close(f"unexpected {type(frame).__name__}")

    def _take_members(self, link, body):
        try:
            found = [
                Member(**{**item, "addr": tuple(item["addr"])})
                for item in json.loads(body)
            ]
        except (ValueError, TypeError, KeyError) as exc:
            link.close(f"unreadable members: {exc}")
            return
        for member in found:
            if member.node not in self.outgoing:
                self.set_member(member)

    def stop_listening(self):
        """Accept no more links."""
        if self._server is not None:
            self._server.close()

    def close(self):
        """Drop every link."""
        self.stop_listening()
        if self._checker is not None:
            self._checker.cancel()
        for out in self.outgoing.values():
            out.close()
        for link in list(self.incoming):
            link.close("node ends")


class _Handlers:
    """Gives every accepted link a handler of its own."""

    def __init__(self, peers):
        self._peers = peers
        self._of = {}

    def link_up(self, link):
        """Begin a peer's link."""
        self._of[link] = _Incoming(self._peers)
        self._of[link].link_up(link)

    def link_suspect(self, link, suspect):
        """Do nothing; answers are due to the peer, not from it."""

    def link_lost(self, link, reason):
        """End a peer's link."""
        handler = self._of.pop(link, None)
        if handler is not None:
            handler.link_lost(link, reason)

    def frame_received(self, link, frame, body):
        """Hand a frame to the handler of its link."""
        handler = self._of.get(link)
        if handler is not None:
            handler.frame_received(link, frame, body)
