"""Tests of the message transport between two nodes in one process."""

import asyncio
from dataclasses import replace

from pimentoline.codec import Codec
from pimentoline.mesh_transport import MeshTransport
from pimentoline.messages import Gossip, Message
from pimentoline.model import Member, Target

ADDR = ("127.0.0.1", 9)
TIMEOUT_S = 5.0


def make_record(number, target_count=1):
    """Return a member record with varied names, so that it compresses badly.

    The node and its targets are in the region `rift` and the data centre `kerio`, and
    the node's incarnation varies as well.
    """
    name = f"node-{number * 7919 % 10007}-{number}"
    targets = tuple(
        Target(f"{name}-{i * 7907 % 9973}", f"service-{i}", ADDR, "rift", "kerio")
        for i in range(target_count)
    )
    return Member(name, name, ADDR, "rift", "kerio", number * 99991, targets=targets)


def exchange(records):
    """Send records over loopback; return the received messages and the errors.

    Each message is returned as (address of the sender, records); the address is None
    for a message over TCP.
    """

    async def run():
        received, errors, complete = [], [], asyncio.Event()

        def on_message(message, addr=None):
            received.append((addr, message.body.records))
            if sum(len(part) for _, part in received) == len(records):
                complete.set()

        sender = MeshTransport(Codec([b"k"]), on_message, errors.append)
        receiver = MeshTransport(Codec([b"k"]), on_message, errors.append)
        sender.bind_addr(("127.0.0.1", 0))
        addr = receiver.bind_addr(("127.0.0.1", 0))
        try:
            # From node n1 in incarnation 1 with version 0 of the rules.
            sender.send((addr,), Message("n1", 1, 0, Gossip(records)))
            await asyncio.wait_for(complete.wait(), TIMEOUT_S)
        finally:
            sender.close()
            receiver.close()
        return received, errors

    return asyncio.run(run())


def test_records_are_split_among_datagrams():
    """Guards against datagrams above 1,400 bytes, which receivers reject."""
    records = tuple(make_record(i) for i in range(60))
    received, errors = exchange(records)
    assert not errors and len(received) > 1
    assert all(addr is not None for addr, _ in received)
    assert {item for _, part in received for item in part} == set(records)


def test_record_above_a_datagram_goes_over_tcp():
    """Guards against never sending the record of a node that has many targets.

    `seq` differs from its default, so the comparison also fails if `seq` is lost.
    """
    record = replace(make_record(1, target_count=200), seq=5)
    received, errors = exchange((record,))
    assert not errors
    assert received == [(None, (record,))]
