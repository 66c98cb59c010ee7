"""Links between nodes: large bodies that are sent as fast as the peer reads."""

import asyncio
import socket

import pytest

from pimentoline.twohop import frames as fr
from pimentoline.twohop import links
from pimentoline.twohop.bodies import CHUNK_BYTES
from standins.platform import free_port

from .test_twohop_frames import FRAMES

CALL = next(frame for frame, _ in FRAMES if isinstance(frame, fr.CallFrame))
LARGE_BODY = bytes(range(256)) * (64 * 4096)


class Handler:
    """Records the frames that a link receives."""

    def __init__(self):
        self.received = []
        self.lost = []
        self.up = asyncio.Event()

    def link_up(self, link):
        self.link = link
        self.up.set()

    def link_lost(self, link, reason):
        self.lost.append(reason)

    def frame_received(self, link, frame, body):
        self.received.append((frame, body))


async def run_pair(test):
    """Run `await test(link, sender, receiver)` with a link and the handlers of it."""
    loop = asyncio.get_running_loop()
    receiver, sender = Handler(), Handler()
    addr = ("127.0.0.1", free_port())
    server = await links.listen(addr, receiver, loop.time)
    link = await links.connect(addr, sender, loop.time)
    try:
        async with asyncio.timeout(20.0):
            await receiver.up.wait()
            await test(link, sender, receiver)
    finally:
        link.close("end of test")
        receiver.link.close("end of test")
        server.close()


async def until(condition):
    """Wait until `condition()` is true."""
    while not condition():
        await asyncio.sleep(0.01)


def body_of(received, stream):
    """Return the bytes of a stream."""
    return b"".join(
        body for frame, body in received if getattr(frame, "stream", None) == stream
    )


def call_frame(stream):
    """Return a call frame with a stream number."""
    fields = {name: getattr(CALL, name) for name in CALL.__dataclass_fields__}
    return fr.CallFrame(**(fields | {"stream": stream}))


def test_large_body_does_not_close_the_link():
    """Guards against a legal upload for which the peer counts as one that hangs."""

    async def test(link, sender, receiver):
        link.send(call_frame(1), LARGE_BODY)
        assert link._transport.get_write_buffer_size() < 4 * CHUNK_BYTES
        await until(lambda: len(body_of(receiver.received, 1)) == len(LARGE_BODY))
        assert body_of(receiver.received, 1) == LARGE_BODY
        assert not sender.lost

    asyncio.run(run_pair(test))


def test_large_bodies_take_turns_and_let_other_frames_pass():
    """Guards against calls that wait until a large body has been sent."""

    async def test(link, sender, receiver):
        link.send(call_frame(1), LARGE_BODY)
        link.send(call_frame(2), LARGE_BODY)
        link.send(call_frame(3), b"small")
        await until(lambda: len(body_of(receiver.received, 2)) == len(LARGE_BODY))
        assert body_of(receiver.received, 2) == LARGE_BODY
        streams = [getattr(frame, "stream", None) for frame, _ in receiver.received]
        last_large = len(streams) - 1 - streams[::-1].index(1)
        assert max(streams.index(2), streams.index(3)) < last_large

    asyncio.run(run_pair(test))


def test_cancelled_body_is_not_sent_to_its_end():
    """Guards against a cancelled upload that goes on to use the link."""

    async def test(link, sender, receiver):
        link.send(call_frame(1), LARGE_BODY)
        link.stop_sending(1)
        link.send(fr.CancelFrame(1))
        await until(lambda: receiver.received[-1:] == [(fr.CancelFrame(1), b"")])
        assert len(body_of(receiver.received, 1)) < len(LARGE_BODY)

    asyncio.run(run_pair(test))


class SlowLink(links.Link):
    """A link whose host sends as fast as the test says.

    Attributes
    ----------
    unsent_bytes : int
        Bytes that the peer's host has not acknowledged.
    """

    unsent_bytes = 0


class RecordingTransport:
    """Takes all bytes and keeps none."""

    def __init__(self):
        self.sock = socket.socket()
        self.aborted = False

    def set_write_buffer_limits(self, high, low):
        pass

    def get_extra_info(self, name):
        return self.sock

    def get_write_buffer_size(self):
        return 0

    def write(self, data):
        pass

    def abort(self):
        self.aborted = True


def suspicions(sent_bytes_per_s, size=500_000, duration_s=2.0):
    """Send a large body over a link without a byte from the peer.

    Return the times of the suspicions and of the close, seconds after the body.
    """
    now, found = 100.0, []
    handler = Handler()
    handler.link_suspect = lambda link, suspect: found.append(("suspect", now - 100.0))
    handler.link_lost = lambda link, reason: found.append((reason, now - 100.0))
    link = SlowLink(handler, lambda: now)
    transport = RecordingTransport()
    link.connection_made(transport)
    link.send(call_frame(1), bytes(size))
    link.pending_responses = 1
    while now < 100.0 + duration_s:
        link.unsent_bytes = max(0, int(size - sent_bytes_per_s * (now - 100.0)))
        link.check(now)
        now += links.CHECK_INTERVAL_S
    transport.sock.close()
    return found


def test_link_that_sends_slowly_is_not_suspect():
    """Guards against runs given up because a large body is on its way to a peer."""
    assert suspicions(200_000) == []


@pytest.mark.parametrize("sent_bytes_per_s", [0, 10_000_000])
def test_link_without_progress_is_suspect_and_closed_in_time(sent_bytes_per_s):
    """Guards against a dead peer that keeps its calls, whatever was sent to it."""
    (first, suspect_at), (second, closed_at) = suspicions(sent_bytes_per_s)
    assert (first, second) == ("suspect", "silent")
    limit_s = links.PING_AFTER_S + links.SUSPECT_AFTER_S
    assert suspect_at <= limit_s + 4 * links.CHECK_INTERVAL_S
    limit_s = links.PING_AFTER_S + links.DEAD_AFTER_S
    assert closed_at <= limit_s + 4 * links.CHECK_INTERVAL_S


def test_peer_that_does_not_read_loses_the_link(monkeypatch):
    """Guards against frames that are buffered without limit for a hanging peer."""

    async def test(link, sender, receiver):
        receiver.link._transport.pause_reading()
        while not sender.lost:
            link.send(fr.ConfigFrame(1), b"x" * CHUNK_BYTES)
            await asyncio.sleep(0)
        assert sender.lost == ["peer does not read"]

    monkeypatch.setattr(links, "MAX_BACKLOG_BYTES", 2 * 1024 * 1024)
    asyncio.run(run_pair(test))
