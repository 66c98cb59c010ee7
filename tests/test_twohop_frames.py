"""Frames between nodes: round trip of every kind, split input, and invalid bytes."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pimentoline.errors import CodecError
from pimentoline.twohop import frames as fr
from pimentoline.twohop.model import LoadReport
from pimentoline.verdict import Verdict

LOAD = LoadReport(True, 3, 1, 9, 120, 40, 1.0, 2500)
HEADERS = (("X-A", "1"), ("X-A", "b:c"), ("X-Empty", ""))
FRAMES = [
    (fr.Hello("n1", 7, LOAD), b""),
    (
        fr.CallFrame(
            5, "s", "POST", "/a?b=%20", HEADERS, "c", -3, 900, 2, False, True, 3
        ),
        b"abc",
    ),
    (fr.BodyFrame(5), b"x" * 70_000),
    (fr.ResponseFrame(5, 200, "OK", HEADERS, 2, LOAD), b"ok"),
    (fr.RefusedFrame(5, "full", 120, True, LOAD), b""),
    (fr.FailedFrame(5, "cut", Verdict.MAY_HAVE_RUN, LOAD), b""),
    (fr.CancelFrame(5), b""),
    (fr.LoadFrame(LOAD, 9), b""),
    (fr.LoadFrame(LOAD, 9, True), b""),
    (fr.Ping(), b""),
    (fr.Pong(), b""),
    (fr.ConfigRequest(), b""),
    (fr.ConfigFrame(9), b"{}"),
    (fr.MembersFrame(), b"[]"),
]


@pytest.mark.parametrize(
    ("frame", "body"), FRAMES, ids=lambda item: type(item).__name__
)
def test_frame_survives_a_round_trip(frame, body):
    """Guards against a field that is lost or changed between two nodes."""
    assert fr.FrameReader().feed(fr.encode(frame, body)) == [(frame, body)]


@seed(1)
@settings(max_examples=60, deadline=None, database=None)
@given(st.lists(st.integers(1, 900), max_size=40))
def test_frames_may_be_split_anywhere(sizes):
    """Guards against a reader that needs a whole frame in one call of `feed`."""
    data = b"".join(fr.encode(frame, body) for frame, body in FRAMES)
    reader, found, start = fr.FrameReader(), [], 0
    for size in sizes:
        found += reader.feed(data[start : start + size])
        start += size
    found += reader.feed(data[start:])
    assert found == FRAMES


@seed(2)
@settings(max_examples=400, deadline=None, database=None)
@given(st.binary(max_size=400), st.booleans())
def test_invalid_bytes_are_rejected_or_buffered(data, framed):
    """Guards against a crash caused by bytes that an unknown peer sends."""
    if framed:
        data = fr.LENGTHS.pack(len(data), 0) + data
    try:
        fr.FrameReader().feed(data)
    except CodecError:
        pass


def test_too_large_frames_are_refused_before_they_are_read():
    """Guards against unlimited memory use caused by an unknown peer."""
    with pytest.raises(CodecError):
        fr.FrameReader().feed(fr.LENGTHS.pack(fr.MAX_HEADER_BYTES + 1, 0))
    with pytest.raises(CodecError):
        fr.FrameReader().feed(fr.LENGTHS.pack(8, fr.MAX_BODY_BYTES + 1))
