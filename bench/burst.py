"""Measures the gossip that one node sends when many members fail at once.

Run: `python -m bench.burst`. The node's state holds 720 members. It receives records
that mark as many members dead as a rack (20 nodes) or a data centre (120 nodes) has,
and then a tick every 200 ms. The size of a message is its encoded size before it is
split into datagrams, and is counted once for each peer that the message is sent to. No
peer acknowledges the node's pings, so the figures include gossip about members that the
node itself suspects.
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

# Number of nodes that fail at once, by kind of failure.
FAILED_NODE_COUNTS = {"rack": 20, "data centre": 120}
TICK_S = 0.2
MEASURED_TICKS = 25
SETTLING_TICKS = 400


def gossip_bytes(codec, state, effects):
    """Return the number of gossip bytes that the effects send."""
    total = 0
    for effect in effects:
        if isinstance(effect, SendMessage) and isinstance(effect.body, Gossip):
            message = Message(
                state.identity.node_id,
                1,  # incarnation
                0,  # rules_version
                effect.body,
                0,  # known_rules_version
                False,  # rules_confirmed
            )
            total += len(codec.encode(message)) * len(effect.addrs)
    return total


def make_settled_state(codec):
    """Return a state that has sent its initial gossip, and its time in seconds."""
    # A state needs a load-balancing policy, but gossip does not depend on it.
    state, now = make_state("hot-cold"), 0.0
    for tick in range(SETTLING_TICKS):
        now += TICK_S
        # `mix` makes a pseudorandom integer, the same in every run.
        step = reduce(state, ev.Tick(now, mix(tick, 1)))
        state = step.state
    return state, now


def measure(count):
    """Return the gossip bytes sent when `count` nodes fail.

    Returns
    -------
    list of int
        Bytes sent when the records of the dead nodes arrive, then at each tick.
    """
    codec = Codec([b"key"])
    state, now = make_settled_state(codec)
    # The first member is the node itself.
    names = sorted(state.mesh.members)[1 : count + 1]
    dead_records = tuple(
        replace(state.mesh.members[name], status=MemberStatus.DEAD) for name in names
    )
    step = reduce(state, ev.MembersReceived(now, dead_records))
    sent_bytes = [gossip_bytes(codec, state, step.effects)]
    state = step.state
    for tick in range(MEASURED_TICKS):
        now += TICK_S
        # The 2 makes the integers differ from those of `make_settled_state`.
        step = reduce(state, ev.Tick(now, mix(tick, 2)))
        state = step.state
        sent_bytes.append(gossip_bytes(codec, state, step.effects))
    return sent_bytes


def main():
    """Print one table row for each kind of failure."""
    ticks_per_s = round(1 / TICK_S)
    print(
        f"| failure | nodes | sent in {MEASURED_TICKS * TICK_S:.0f} s, KB "
        "| highest KB/s |"
    )
    print("| --- | --- | --- | --- |")
    for name, count in FAILED_NODE_COUNTS.items():
        sent_bytes = measure(count)
        # Sums over every period of one second, starting at each tick.
        bytes_per_s = [
            sum(sent_bytes[i : i + ticks_per_s])
            for i in range(len(sent_bytes) - ticks_per_s + 1)
        ]
        print(
            f"| {name} | {count} | {sum(sent_bytes) / 1000:.0f} "
            f"| {max(bytes_per_s) / 1000:.0f} |"
        )


if __name__ == "__main__":
    main()
