"""pimentoline.twohop.peers: the links to other nodes, and the calls on these links.

A member is a node of the cluster with the target on its host, and a peer is the node at
the other end of a link. A candidate is a member as placement sees it: with its load
report and the calls that this node has sent to it.
"""

import asyncio

from ..logs import RateLimitedLog, log_entry
from ..tasks import start_task
from ..verdict import Verdict
from . import frames as fr
from .bodies import NO_MEMORY_RETRY_AFTER_S, Body, head_bytes
from .links import CHECK_INTERVAL_S, connect, listen
from .member_rows import encode_members, parse_members
from .model import LoadReport
from .placement import Candidate
from .status_replicas import StatusReplicas

__all__ = ["Peers"]

# Pause before the next attempt to connect to a node, seconds. The pause doubles after
# each failure.
MIN_RECONNECT_PAUSE_S = 0.2
MAX_RECONNECT_PAUSE_S = 2.0
# All nodes read the configuration from a shared store, which is expected to deliver a
# newer version within this time after a peer has announced it, seconds. After this
# time, the peer is asked for the configuration.
CONFIG_WAIT_S = 0.15
# A delay of the event loop above this is logged, seconds.
MAX_QUIET_DELAY_S = 0.1
MS_PER_S = 1000.0
SHUTDOWN_REASON = "node is shutting down"


class _BodyAssembler:
    """Joins the bodies of frames that a link receives in chunks.

    Parameters
    ----------
    memory : BodyMemory
        Bounds the bodies.
    on_reject : callable
        `on_reject(frame)` is called if the body of a frame is discarded, because there
        is no memory for it.
    """

    def __init__(self, memory, on_reject):
        self._memory = memory
        self._on_reject = on_reject
        # Frame and body received so far, by stream.
        self._partial_frames = {}

    def begin(self, frame, data):
        """Start a body; return it if the frame contains all of it, otherwise None."""
        head_size = head_bytes(frame.headers)
        if not frame.body_bytes and not head_size:
            return b""
        stream = frame.stream
        self.drop(stream)
        body = Body(self._memory, lambda: self._reject(stream))
        self._partial_frames[stream] = frame, body
        if head_size:
            body.count_head(head_size)
        frame_and_body = self.add(stream, data)
        return frame_and_body[1] if frame_and_body is not None else None

    def add(self, stream, chunk):
        """Add a chunk; return (frame, body) if it was the last one, otherwise None."""
        if stream not in self._partial_frames:
            return None
        frame, body = self._partial_frames[stream]
        body.append(chunk)
        if body.rejected or len(body) < frame.body_bytes:
            return None
        del self._partial_frames[stream]
        body.pin()
        return frame, body

    def _reject(self, stream):
        frame, body = self._partial_frames.pop(stream)
        self._on_reject(frame)

    def drop(self, stream):
        """Discard the body of a stream."""
        _, body = self._partial_frames.pop(stream, (None, None))
        if body is not None:
            body.pin()

    def clear(self):
        """Discard the bodies of all streams."""
        for stream in list(self._partial_frames):
            self.drop(stream)


class _OutgoingLink:
    """The link that this node opens to a member, and its own calls on that link.

    Attributes
    ----------
    frame_callbacks : dict of int to callable
        `on_frame` of each open call, by stream number.
    stall_callbacks : dict of int to callable
        `on_stall` of each open call, by stream number.
    peer_up : asyncio.Event
        Set when the member has connected to this node, which ends the pause before the
        next attempt to connect to the member.
    """

    def __init__(self, peers, candidate):
        self.peers = peers
        self.candidate = candidate
        self.link = None
        self.frame_callbacks = {}
        self.stall_callbacks = {}
        self.assembler = _BodyAssembler(peers.memory.responses, self._reject_response)
        self.next_stream = 0
        self.closed = False
        self.peer_up = asyncio.Event()
        self.connect_task = start_task(
            self._keep_connected(), f"connect to {candidate.member.node}"
        )

    async def _keep_connected(self):
        pause_s = MIN_RECONNECT_PAUSE_S
        member = self.candidate.member
        while not self.closed:
            self.link_lost_event = asyncio.Event()
            try:
                self.link = await connect(member.addr, self, self.peers.clock)
            except Exception as exc:
                if not isinstance(exc, (OSError, TimeoutError)):
                    log_entry(
                        "peer:connect-error",
                        node=member.node,
                        detail=f"{exc!r:.120}",
                    )
                await self._wait_for_peer(pause_s)
                pause_s = min(pause_s * 2, MAX_RECONNECT_PAUSE_S)
                continue
            await self.link_lost_event.wait()
            pause_s = MIN_RECONNECT_PAUSE_S
            await self._wait_for_peer(pause_s)

    async def _wait_for_peer(self, pause_s):
        """Wait for `pause_s`, or until the member connects to this node."""
        self.peer_up.clear()
        try:
            async with asyncio.timeout(pause_s):
                await self.peer_up.wait()
        except TimeoutError:
            return

    def link_up(self, link):
        """Send the status that is held for the peer, if any, and a `Hello` frame."""
        link.peer = self.candidate.member.node
        self.peers.replicas.send_held(link, link.peer)
        link.send(self.peers.make_hello())

    def link_suspect(self, link, suspect):
        """Exclude a silent peer from placement, and notify its open calls."""
        self.candidate.reachable = not suspect
        log_entry(
            "peer:suspect",
            node=link.peer,
            suspect=suspect,
            calls=len(self.frame_callbacks),
            unsent_bytes=link.unsent_bytes,
        )
        if suspect:
            for on_stall in list(self.stall_callbacks.values()):
                on_stall()

    def link_lost(self, link, reason):
        """Fail the open calls of the link; the peer's target may have run them."""
        self.candidate.reachable = False
        self.stall_callbacks.clear()
        log_entry(
            "peer:lost", node=link.peer, reason=reason, calls=len(self.frame_callbacks)
        )
        self.assembler.clear()
        frame_callbacks, self.frame_callbacks = self.frame_callbacks, {}
        self.candidate.in_flight = 0
        self.candidate.in_flight_at_report = 0
        self.link_lost_event.set()
        for stream, on_frame in frame_callbacks.items():
            frame = fr.FailedFrame(
                stream, "peer-lost", Verdict.MAY_HAVE_RUN, LoadReport()
            )
            on_frame(frame, b"")

    def frame_received(self, link, frame, body):
        """Handle the outcome of a call, or a frame with a peer's state."""
        match frame:
            case fr.Hello():
                if frame.node != self.candidate.member.node:
                    link.close("another node has this address")
                    return
                self.candidate.reachable = True
                self._note_load_report(frame.load)
                self.peers.note_config_version(link, frame.version)
                self.peers.send_members_if_new(link, frame.version)
                self.peers.replicas.send_offered(link)
            case fr.LoadFrame():
                self._note_load_report(frame.load)
                if frame.config_read:
                    self.peers.on_config_read()
                self.peers.note_config_version(link, frame.version)
            case fr.ResponseFrame() if frame.stream not in self.frame_callbacks:
                # The call was cancelled, and the peer may send no more of the body.
                pass
            case fr.ResponseFrame():
                complete_body = self.assembler.begin(frame, body)
                if complete_body is not None:
                    self._complete(frame, complete_body)
            case fr.BodyFrame():
                frame_and_body = self.assembler.add(frame.stream, body)
                if frame_and_body is not None:
                    self._complete(*frame_and_body)
            case fr.RefusedFrame() | fr.FailedFrame():
                self._complete(frame, b"")
            case _:
                self.peers.handle_control_frame(link, frame, body)

    def _reject_response(self, frame):
        """Fail a call for whose response there is no memory."""
        log_entry("response:no-memory", node=self.link.peer)
        self.link.send(fr.CancelFrame(frame.stream))
        failure = fr.FailedFrame(frame.stream, "no-memory", Verdict.RAN, frame.load)
        self._complete(failure, b"")

    def _note_load_report(self, load):
        self.candidate.note_report(load, self.peers.clock())

    def _complete(self, frame, body):
        on_frame = self._remove_call(frame.stream)
        if on_frame is not None:
            self._note_load_report(frame.load)
            on_frame(frame, body)

    def _remove_call(self, stream):
        """Remove the call of a stream; return its `on_frame`, or None."""
        on_frame = self.frame_callbacks.pop(stream, None)
        if on_frame is not None:
            del self.stall_callbacks[stream]
            self.link.stop_sending(stream)
            self.link.pending_responses -= 1
            self.candidate.in_flight -= 1
        return on_frame

    def send(self, make_frame, body, on_frame, on_stall):
        """Send a call as `make_frame(stream)`; return its new stream number."""
        self.next_stream += 1
        stream = self.next_stream
        self.frame_callbacks[stream] = on_frame
        self.stall_callbacks[stream] = on_stall
        self.candidate.in_flight += 1
        self.link.pending_responses += 1
        self.link.send(make_frame(stream), body)
        return stream

    def cancel(self, stream):
        """Cancel a call."""
        if self._remove_call(stream) is not None:
            self.assembler.drop(stream)
            self.link.send(fr.CancelFrame(stream))

    def close(self, reason):
        """Close the link for a reason, and do not connect again."""
        self.closed = True
        self.connect_task.cancel()
        if self.link is not None and not self.link.closed:
            self.link.close(reason)


class _IncomingLink:
    """A link that a peer opened to this node, and its calls for this node's target.

    The peer's load reports are not used here, because `_OutgoingLink` handles them.

    Attributes
    ----------
    pending_calls : dict of int to PendingCall
        Calls that wait or run at the target, by stream number.
    """

    def __init__(self, peers):
        self.peers = peers
        self.link = None
        self.pending_calls = {}
        self.assembler = _BodyAssembler(peers.memory.requests, self._refuse)

    def link_up(self, link):
        """Register the link and send a `Hello` frame."""
        self.link = link
        self.peers.incoming[link] = self
        link.send(self.peers.make_hello())

    def link_lost(self, link, reason):
        """Cancel the peer's calls."""
        self.peers.incoming.pop(link, None)
        self.assembler.clear()
        pending_calls, self.pending_calls = self.pending_calls, {}
        for pending_call in pending_calls.values():
            self.peers.target.cancel(pending_call)

    def frame_received(self, link, frame, body):
        """Handle a call, a cancellation, or a frame with a peer's state."""
        match frame:
            case fr.CallFrame():
                complete_body = self.assembler.begin(frame, body)
                if complete_body is not None:
                    self._submit(link, frame, complete_body)
            case fr.BodyFrame():
                frame_and_body = self.assembler.add(frame.stream, body)
                if frame_and_body is not None:
                    self._submit(link, *frame_and_body)
            case fr.CancelFrame():
                self.assembler.drop(frame.stream)
                link.stop_sending(frame.stream)
                pending_call = self.pending_calls.pop(frame.stream, None)
                if pending_call is not None:
                    self.peers.target.cancel(pending_call)
            case fr.Hello():
                link.peer = frame.node
                self.peers.replicas.send_held(link, frame.node)
                self.peers.note_peer_up(frame.node)
                self.peers.note_config_version(link, frame.version)
                self.peers.send_members_if_new(link, frame.version)
            case fr.LoadFrame():
                self.peers.note_config_version(link, frame.version)
            case _:
                self.peers.handle_control_frame(link, frame, body)

    def _refuse(self, call):
        """Refuse a call for whose body there is no memory."""
        self.peers.log.entry("call:no-memory", node=self.link.peer, path=call.path[:80])
        retry_after_ms = int(NO_MEMORY_RETRY_AFTER_S * MS_PER_S)
        load = self.peers.target.load_report()
        self.link.send(
            fr.RefusedFrame(call.stream, "no-memory", retry_after_ms, False, load)
        )

    def _submit(self, link, call, complete_body):
        stream = call.stream

        def reply(frame, body):
            self.pending_calls.pop(stream, None)
            link.send(frame, body)

        pending_call = self.peers.target.submit(call, complete_body, reply)
        if not pending_call.ended:
            self.pending_calls[stream] = pending_call


class Peers:
    """Links to every member, and candidates for placement.

    Parameters
    ----------
    own_name : str
        Name of this node.
    target : TargetSide
        Runs calls at the target on this node's host.
    config : ConfigHolder
        Holds the configuration in force.
    clock : callable
        Monotonic clock, seconds.
    memory : NodeMemory
        Bounds the bodies that links receive.
    on_config_read : callable
        Called without arguments when a peer has read the configuration's table.

    Attributes
    ----------
    incoming : dict of Link to _IncomingLink
        Links that peers opened.
    outgoing : dict of str to _OutgoingLink
        Links that this node opens, by name of the member.
    local_candidate : Candidate or None
        This node's own target.
    replicas : StatusReplicas
    """

    def __init__(self, own_name, target, config, clock, memory, on_config_read):
        self.own_name = own_name
        self.target = target
        self.config = config
        self.clock = clock
        self.memory = memory
        self.on_config_read = on_config_read
        self.log = RateLimitedLog(clock)
        self.incoming = {}
        self.outgoing = {}
        self.local_candidate = None
        self.replicas = StatusReplicas(own_name, target, self._connected_links)
        self._candidates_by_service = {}
        self._server = None
        self._check_task = None

    async def start(self, addr):
        """Accept links at an address, a tuple of host and port."""
        self._server = await listen(addr, _AcceptedLinks(self), self.clock)
        self._check_task = start_task(self._check_links(), "check links")

    async def _check_links(self):
        """Check regularly whether peers with unanswered calls are still alive.

        This node waits for responses only on the links that it opened itself.
        """
        checked_at = self.clock()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = self.clock()
            late_s = now - checked_at - CHECK_INTERVAL_S
            checked_at = now
            if late_s > MAX_QUIET_DELAY_S:
                self.log.entry("node:delayed", late_ms=int(late_s * MS_PER_S))
            for outgoing_link in self.outgoing.values():
                if outgoing_link.link is not None:
                    outgoing_link.link.check(now)

    def make_hello(self):
        """Return a `Hello` frame with the current state."""
        return fr.Hello(self.own_name, self.config.version, self.target.load_report())

    # Members.

    @property
    def members(self):
        """Every known member, this node's own included.

        A host that is lost for good stays a member, since its row stays in the store.
        """
        members = [
            outgoing_link.candidate.member for outgoing_link in self.outgoing.values()
        ]
        if self.local_candidate is not None:
            members.append(self.local_candidate.member)
        return members

    @property
    def connected_members(self):
        """The members with a working link from this node, and this node's own."""
        members = list(self._connected_links())
        if self.local_candidate is not None:
            members.append(self.local_candidate.member)
        return members

    def _connected_links(self):
        return {
            outgoing_link.candidate.member: outgoing_link.link
            for outgoing_link in self.outgoing.values()
            if outgoing_link.candidate.reachable
        }

    def set_member(self, member):
        """Add a member, or replace it if its data have changed."""
        if member.node == self.own_name:
            if self.local_candidate is None or self.local_candidate.member != member:
                self.local_candidate = Candidate(member, reachable=True)
                self._index_by_service()
            return
        outgoing_link = self.outgoing.get(member.node)
        if outgoing_link is not None and outgoing_link.candidate.member == member:
            return
        if outgoing_link is not None:
            outgoing_link.close("member changed")
        log_entry("member:set", node=member.node, service=member.service)
        self.outgoing[member.node] = _OutgoingLink(self, Candidate(member))
        self._index_by_service()

    def note_peer_up(self, node):
        """Connect at once to a member that has just connected to this node."""
        outgoing_link = self.outgoing.get(node)
        if outgoing_link is not None:
            outgoing_link.peer_up.set()

    def remove_member(self, node):
        """Remove a member and close its link."""
        outgoing_link = self.outgoing.pop(node, None)
        if outgoing_link is not None:
            log_entry("member:removed", node=node)
            outgoing_link.close("member removed")
            self._index_by_service()

    def _index_by_service(self):
        candidates_by_service = {}
        for outgoing_link in self.outgoing.values():
            service = outgoing_link.candidate.member.service
            candidates_by_service.setdefault(service, []).append(
                outgoing_link.candidate
            )
        if self.local_candidate is not None:
            candidates_by_service.setdefault(
                self.local_candidate.member.service, []
            ).append(self.local_candidate)
        self._candidates_by_service = candidates_by_service

    def candidates(self, service):
        """Return the candidates of a service; renew the report of the local target."""
        local_candidate = self.local_candidate
        if local_candidate is not None and local_candidate.member.service == service:
            local_candidate.note_report(self.target.load_report(), self.clock())
        return self._candidates_by_service.get(service, ())

    # Calls.

    def send(self, candidate, make_frame, body, on_frame, on_stall):
        """Send a call to a candidate; return a function that cancels the call.

        Parameters
        ----------
        candidate : Candidate
        make_frame : callable
            Returns the `CallFrame` for a stream number.
        body : bytes or Body
        on_frame : callable
            `on_frame(frame, body)` is called once with the outcome of the call, unless
            the call is cancelled.
        on_stall : callable
            Called without arguments when the link to the candidate becomes suspect.
        """
        if candidate is self.local_candidate:
            return self._send_local(candidate, make_frame, body, on_frame)
        outgoing_link = self.outgoing.get(candidate.member.node)
        if outgoing_link is None or not candidate.reachable:
            frame = fr.FailedFrame(0, "peer-lost", Verdict.NOT_RUN, LoadReport())
            loop = asyncio.get_running_loop()
            return loop.call_soon(on_frame, frame, b"").cancel
        stream = outgoing_link.send(make_frame, body, on_frame, on_stall)
        return lambda: outgoing_link.cancel(stream)

    def _send_local(self, candidate, make_frame, body, on_frame):
        candidate.in_flight += 1

        def reply(frame, body):
            candidate.in_flight -= 1
            on_frame(frame, body)

        def cancel():
            if not pending_call.ended and not pending_call.cancelled:
                candidate.in_flight -= 1
                self.target.cancel(pending_call)

        pending_call = self.target.submit(make_frame(0), body, reply)
        return cancel

    # State that peers exchange.

    def broadcast_load(self, config_read=False):
        """Send the load report and the configuration's version to every peer.

        `config_read` tells whether the configuration's table has just been read.
        """
        frame = fr.LoadFrame(
            self.target.load_report(), self.config.version, config_read
        )
        for link in list(self.incoming):
            link.send(frame)

    def note_config_version(self, link, version):
        """Request a newer configuration, unless the store delivers it first."""
        if version > self.config.version:
            loop = asyncio.get_running_loop()
            wait_s = CONFIG_WAIT_S if self.config.version else 0.0
            loop.call_later(wait_s, self._request_config, link, version)

    def _request_config(self, link, version):
        if version > self.config.version:
            log_entry(
                "config:behind",
                version=self.config.version,
                known=version,
                source=f"peer {link.peer}",
            )
            link.send(fr.ConfigRequest())

    def send_members_if_new(self, link, version):
        """Send the known members to a peer that has no configuration yet."""
        if version == 0 and self.config.version:
            link.send(fr.MembersFrame(), encode_members(self.members))

    def handle_control_frame(self, link, frame, body):
        """Handle a frame with a configuration, the members or a target's status."""
        match frame:
            case fr.ConfigRequest():
                if self.config.version:
                    link.send(fr.ConfigFrame(self.config.version), self.config.text)
            case fr.ConfigFrame():
                self.config.offer(frame.version, body, f"peer {link.peer}")
            case fr.MembersFrame():
                self._add_members(link, body)
            case fr.StatusFrame() | fr.StatusHeldFrame():
                self.replicas.handle_frame(link, frame, body)
            case _:
                link.close(f"unexpected {type(frame).__name__}")

    def _add_members(self, link, body):
        try:
            received_members = parse_members(body)
        except ValueError as exc:
            link.close(f"malformed member list: {exc}")
            return
        for member in received_members:
            if member.node not in self.outgoing:
                self.set_member(member)

    def stop_listening(self):
        """Accept no more links."""
        if self._server is not None:
            self._server.close()

    def close(self):
        """Close every link."""
        self.stop_listening()
        if self._check_task is not None:
            self._check_task.cancel()
        for outgoing_link in self.outgoing.values():
            outgoing_link.close(SHUTDOWN_REASON)
        for link in list(self.incoming):
            link.close(SHUTDOWN_REASON)


class _AcceptedLinks:
    """Creates a handler for each accepted link and forwards the events to it."""

    def __init__(self, peers):
        self._peers = peers
        self._handlers = {}

    def link_up(self, link):
        """Create the handler of a link."""
        self._handlers[link] = _IncomingLink(self._peers)
        self._handlers[link].link_up(link)

    def link_suspect(self, link, suspect):
        """Do nothing; this node waits for no responses on accepted links."""

    def link_lost(self, link, reason):
        """Remove the handler of a link."""
        handler = self._handlers.pop(link, None)
        if handler is not None:
            handler.link_lost(link, reason)

    def frame_received(self, link, frame, body):
        """Forward a frame to the handler of its link."""
        handler = self._handlers.get(link)
        if handler is not None:
            handler.frame_received(link, frame, body)
