"""Bytes that one node sends when it hears that many members died at once.

Run: `python -m bench.burst`. The node's reducer holds 720 members; the records of a
rack (20 nodes) or a data centre (120 nodes) arrive as dead, then ticks follow every
200 ms.
Bytes are payload before the split into datagrams, for all peers of a push. No peer
answers the pings here, so the suspicions of this node itself are in the figures.
"""

from dataclasses import replace

from pimentoline import events as ev
from pimentoline.codec import Codec
from pimentoline.draws import mix
from pimentoline.effects import SendMessage
from pimentoline.messages import Gossip, Message
from pimentoline.model import MemberStatus
from pimentoline.reducer import reduce

from .reduce_cost import make_state

FAILURES = {"rack": 20, "data centre": 120}
TICK_S = 0.2
ROUNDS = 25
QUIET_ROUNDS = 400


def encoded_bytes(codec, state, effects):
    """Return the bytes of the rumours that the effects send."""
    total = 0
    for effect in effects:
        if isinstance(effect, SendMessage) and isinstance(effect.body, Gossip):
            message = Message(state.identity.node_id, 1, 0, effect.body, 0, False)
            total += len(codec.encode(message)) * len(effect.addrs)
    return total


def settled_state(codec):
    """Return a state whose rumours of the start have been sent, and its time."""
    state, now = make_state("hot-cold"), 0.0
    for number in range(QUIET_ROUNDS):
        now += TICK_S
        step = reduce(state, ev.Tick(now, mix(number, 1)))
        state = step.state
    return state, now


def measure(count):
    """Return the bytes sent in each round after `count` members died."""
    codec = Codec([b"key"])
    state, now = settled_state(codec)
    names = sorted(state.mesh.members)[1 : count + 1]
    dead = tuple(
        replace(state.mesh.members[name], status=MemberStatus.DEAD) for name in names
    )
    step = reduce(state, ev.MembersReceived(now, dead))
    sent = [encoded_bytes(codec, state, step.effects)]
    state = step.state
    for number in range(ROUNDS):
        now += TICK_S
        step = reduce(state, ev.Tick(now, mix(number, 2)))
        state = step.state
        sent.append(encoded_bytes(codec, state, step.effects))
    return sent


def main():
    """Print one row for each failure."""
    per_s = round(1 / TICK_S)
    print(f"| failure | nodes | sent in {ROUNDS * TICK_S:.0f} s, KB | highest KB/s |")
    print("| --- | --- | --- | --- |")
    for name, count in FAILURES.items():
        sent = measure(count)
        seconds = [sum(sent[i : i + per_s]) for i in range(len(sent) - per_s + 1)]
        print(
            f"| {name} | {count} | {sum(sent) / 1000:.0f} | {max(seconds) / 1000:.0f} |"
        )


if __name__ == "__main__":
    main()
