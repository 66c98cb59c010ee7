"""Codec of node messages: round trips, keys, limits and malformed input."""

import random
import zlib

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pimentoline import codec as cd
from pimentoline import messages as ms
from pimentoline.errors import CodecError, NewerMessageError
from pimentoline.model import Member, MemberStatus, Target, TargetState

CODEC = cd.Codec([b"new", b"old"])
# Fixed seeds make runs repeatable, so hypothesis needs no database of examples.
FUZZ = settings(max_examples=150, deadline=None, database=None)

names = st.text(st.characters(codec="utf-8"), min_size=1, max_size=30)
addrs = st.tuples(
    st.tuples(*[st.integers(0, 255)] * 4).map(lambda part: ".".join(map(str, part))),
    st.integers(0, 65535),
)
counters = st.integers(0, cd.MAX_COUNTER)
targets = st.builds(
    Target,
    names,
    names,
    addrs,
    st.just("rift"),
    st.just("kerio"),
    st.integers(0, 2**32 - 1),
    st.integers(0, 2**32 - 1),
    st.sampled_from(TargetState),
    names,
    names,
)
members = st.builds(
    Member,
    names,
    names,
    addrs,
    st.just("rift"),
    st.just("kerio"),
    counters,
    counters,
    st.sampled_from(MemberStatus),
    st.lists(targets, max_size=3).map(tuple),
    counters,
    # `age_s`: whole seconds, which encoding in milliseconds does not round.
    st.integers(0, 10**6).map(float),
)
records = st.lists(members, max_size=5).map(tuple)
u64 = st.integers(0, 2**64 - 1)
bodies = st.one_of(
    st.builds(ms.Ping, u64, st.none() | addrs),
    st.builds(ms.PingReq, u64, addrs),
    st.builds(ms.Ack, u64, st.none() | addrs),
    st.builds(ms.Gossip, records),
    st.builds(ms.SyncRequest, st.lists(u64, max_size=64).map(tuple)),
    st.builds(
        ms.SyncReply, st.lists(st.integers(0, 65535), max_size=9).map(tuple), records
    ),
    st.builds(ms.RulesRequest, counters),
    st.builds(ms.RulesAck, counters),
    st.builds(ms.RulesReply, counters, names),
    st.builds(ms.RulesPush, counters, names),
)
messages = st.builds(
    ms.Message, names, counters, counters, bodies, counters, st.booleans()
)


def sign(payload, key=b"new"):
    """Return an authentic message with a given payload."""
    data = zlib.compress(payload)
    return cd.MAGIC + cd._key_id(key) + cd._mac(key, data) + data


def envelope(**fields):
    """Return an envelope for contents that the encoder cannot write."""
    return cd.SCHEMA.Envelope.new_message(protocol=1, sender="n1", **fields)


@seed(1)
@FUZZ
@given(messages)
def test_round_trip(message):
    """Guards against a field that encoding or decoding loses or changes."""
    assert CODEC.decode(CODEC.encode(message)) == message


@seed(2)
@FUZZ
@given(messages, st.integers(0, 2**32))
def test_authentic_garbage_is_refused_with_a_codec_error(message, number):
    """Guards the event loop against exceptions other than `CodecError`, and crashes."""
    rand = random.Random(number)
    payload = bytearray(zlib.decompress(CODEC.encode(message)[cd.HEADER_BYTES :]))
    for _ in range(rand.randint(1, 8)):
        payload[rand.randrange(len(payload))] = rand.randrange(256)
    if rand.random() < 0.3:
        del payload[rand.randrange(len(payload)) :]
    try:
        assert isinstance(CODEC.decode(sign(bytes(payload))), ms.Message)
    except CodecError:
        pass


@seed(3)
@FUZZ
@given(messages, st.integers(0, 2**32))
def test_changed_or_foreign_bytes_are_refused(message, number):
    """Guards against a message that is accepted without a valid signature."""
    rand = random.Random(number)
    data = bytearray(CODEC.encode(message))
    data[rand.randrange(len(data))] ^= 1 << rand.randrange(8)
    for bad in (bytes(data), rand.randbytes(rand.randrange(200))):
        with pytest.raises(CodecError):
            CODEC.decode(bad)


def test_both_keys_are_accepted_during_a_rotation():
    """Guards against nodes that reject each other's messages during a key rotation."""
    message = ms.Message("n1", 1, 2, ms.Ping(3))
    for key in (b"new", b"old"):
        assert CODEC.decode(cd.Codec([key]).encode(message)) == message
    with pytest.raises(CodecError):
        CODEC.decode(cd.Codec([b"stolen"]).encode(message))


def test_two_keys_with_the_same_short_id_are_both_accepted():
    """Guards against a key that is ignored because another one has the same id."""
    # A key id has one byte, so that two of 300 keys share an id.
    keys_by_id = {}
    for number in range(300):
        key = str(number).encode()
        other = keys_by_id.setdefault(cd._key_id(key), key)
        if other != key:
            break
    message = ms.Message("n1", 1, 2, ms.Ping(3))
    both = cd.Codec([key, other])
    for single in (key, other):
        assert both.decode(cd.Codec([single]).encode(message)) == message


def test_newer_protocol_and_unknown_message_type_are_not_malformed():
    """Guards a rolling upgrade against counting newer messages as malformed."""
    env = envelope()
    env.protocol = cd.PROTOCOL_VERSION + 1
    unknown = bytearray(envelope().to_bytes())
    # In Cap'n Proto, the data section follows 8 bytes of framing and a pointer of 8
    # bytes. The union's discriminant is its second 16-bit field.
    unknown[18:20] = (999).to_bytes(2, "little")
    for payload in (env.to_bytes(), bytes(unknown)):
        with pytest.raises(NewerMessageError):
            CODEC.decode(sign(payload))


@pytest.mark.parametrize(
    "change",
    [
        {"status": "hibernating"},
        {"nodeId": ""},
        {"seq": 2**63},
        {"region": "x" * 600},
        {"addr": {"ip": "kerio.example", "port": 80}},
    ],
)
def test_only_the_unreadable_record_is_skipped(change):
    """Guards against the loss of a message because of one unknown or invalid value."""
    env = envelope()
    items = env.init("rumours", 2)
    good = {"nodeId": "n2", "addr": {"ip": "10.0.0.1", "port": 1}, "status": "alive"}
    items[0] = {**good, **change}
    items[1] = good
    decoded = CODEC.decode(sign(env.to_bytes()))
    assert [record.node_id for record in decoded.body.records] == ["n2"]
    assert decoded.skipped_records == 1


def test_sizes_are_limited_before_memory_is_allocated():
    """Guards against a small message that decompresses to gigabytes."""
    bomb = sign(b"\0" * (cd.MAX_FRAME_BYTES + 8))
    assert len(bomb) < 10_000
    env = envelope()
    env.init("rulesPush").body = b"x" * (cd.MAX_RULES_BYTES + 1)
    huge = cd.MAGIC + b"0" * cd.MAX_FRAME_BYTES
    # The signature of the truncated `bomb` does not match.
    for data in (bomb, sign(env.to_bytes()), huge, bomb[:-4]):
        with pytest.raises(CodecError):
            CODEC.decode(data)


@pytest.mark.parametrize(
    "body",
    [ms.Ping(-1), ms.Ping(2**64), ms.PingReq(1, ("10.0.0.1", 70000)), None, "text"],
)
def test_value_that_does_not_fit_is_refused_by_the_encoder(body):
    """Guards a node's periodic task against exceptions other than `CodecError`."""
    with pytest.raises(CodecError):
        CODEC.encode(ms.Message("n1", 1, 1, body))
